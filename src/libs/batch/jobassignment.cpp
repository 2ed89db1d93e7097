#include "jobassignment.h"

#include "capacityreservations.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <tuple>

namespace Batch {

namespace {

constexpr std::uint32_t maxTasks = 1'000'000;
constexpr std::size_t maxNameLength = 64;
constexpr double unlimited = std::numeric_limits<std::uint32_t>::max();

bool isNameCharacter(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool isValidName(std::string_view text)
{
    return text.size() <= maxNameLength && std::ranges::all_of(text, isNameCharacter);
}

bool isValidAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

double containedCount(double capacity, double size)
{
    return size <= 0 ? unlimited : std::floor(capacity / size);
}

// Estimates how many tasks fit the capacity; fragmentation over single workers is ignored.
std::uint32_t taskCapacity(const Schema::TaskSize& capacity, const Schema::TaskSize& size)
{
    const double count = std::min({ containedCount(capacity.processors(), size.processors()),
        containedCount(capacity.memory_mb(), size.memory_mb()),
        containedCount(capacity.accelerators(), size.accelerators()), unlimited });
    return static_cast<std::uint32_t>(std::max(0.0, count));
}

bool hasLargeEnoughWorker(const CandidateShard& candidate, const Schema::TaskSize& size)
{
    const auto fits = [&](const Schema::TaskSize& kind) { return sizeFits(kind, size); };
    return std::ranges::any_of(candidate.row.capacity().kinds(), fits);
}

struct ShardShare {
    const CandidateShard* candidate = nullptr;
    std::uint32_t freeTaskCapacity = 0;
    std::uint32_t totalTaskCapacity = 0;
    std::uint32_t count = 0;
};

std::vector<ShardShare> eligibleShares(const Schema::JobSpec& spec, std::span<const CandidateShard> shards)
{
    std::vector<ShardShare> shares;
    for (const CandidateShard& candidate : shards) {
        if (!spec.region().empty() && spec.region() != candidate.row.region())
            continue;
        if (!hasLargeEnoughWorker(candidate, spec.size()))
            continue;
        const Schema::ShardCapacity& capacity = candidate.row.capacity();
        shares.push_back({ &candidate, taskCapacity(capacity.free(), spec.size()),
            std::max<std::uint32_t>(1, taskCapacity(capacity.total(), spec.size())), 0 });
    }
    return shares;
}

void distributeBatchTasks(std::uint32_t count, std::vector<ShardShare>& shares)
{
    std::ranges::sort(shares,
        [](const ShardShare& a, const ShardShare& b) { return a.freeTaskCapacity > b.freeTaskCapacity; });
    std::uint32_t remaining = count;
    for (ShardShare& share : shares) {
        share.count = std::min(remaining, share.freeTaskCapacity);
        remaining -= share.count;
    }
    // Tasks beyond the free capacity wait at the shards in proportion to their total capacity.
    double total = 0;
    for (const ShardShare& share : shares)
        total += share.totalTaskCapacity;
    const std::uint32_t waiting = remaining;
    for (ShardShare& share : shares) {
        const auto part = std::min(
            remaining, static_cast<std::uint32_t>(std::ceil(waiting * (share.totalTaskCapacity / total))));
        share.count += part;
        remaining -= part;
    }
}

void spreadServiceReplicas(std::uint32_t count, std::vector<ShardShare>& shares)
{
    std::map<std::string, std::uint32_t> replicasPerDomain;
    for (std::uint32_t replica = 0; replica < count; ++replica) {
        const auto lessLoaded = [&](const ShardShare& a, const ShardShare& b) {
            const std::uint32_t domainA = replicasPerDomain[a.candidate->row.domain()];
            const std::uint32_t domainB = replicasPerDomain[b.candidate->row.domain()];
            const bool fullA = a.count >= a.totalTaskCapacity;
            const bool fullB = b.count >= b.totalTaskCapacity;
            return std::tie(fullA, domainA, a.count) < std::tie(fullB, domainB, b.count);
        };
        ShardShare& share = *std::ranges::min_element(shares, lessLoaded);
        ++share.count;
        ++replicasPerDomain[share.candidate->row.domain()];
    }
}

} // namespace

JobAssignment assignJob(const Schema::JobSpec& spec, std::span<const CandidateShard> shards)
{
    JobAssignment assignment;
    std::vector<ShardShare> shares = eligibleShares(spec, shards);
    if (shares.empty()) {
        assignment.reason = spec.region().empty()
            ? "no worker is large enough for one task"
            : "no worker of region " + spec.region() + " is large enough for one task";
        return assignment;
    }
    if (spec.kind() == Schema::SERVICE)
        spreadServiceReplicas(spec.count(), shares);
    else
        distributeBatchTasks(spec.count(), shares);
    std::uint32_t first = 0;
    for (const ShardShare& share : shares) {
        if (share.count == 0)
            continue;
        Schema::JobPart& part = assignment.parts.emplace_back();
        part.set_shard(share.candidate->shard);
        part.set_first(first);
        part.set_count(share.count);
        first += share.count;
    }
    return assignment;
}

std::string jobSpecError(const Schema::JobSpec& spec)
{
    if (!isValidName(spec.id()))
        return "id: at most 64 letters, digits, '.', '_' or '-' are allowed";
    if (spec.count() < 1 || spec.count() > maxTasks)
        return "count: must be from 1 to " + std::to_string(maxTasks);
    if (!isValidAmount(spec.size().processors()) || !isValidAmount(spec.size().memory_mb()))
        return "size: processors and memory_mb must not be negative";
    if (spec.size().processors() <= 0)
        return "size: processors must be above 0";
    if (spec.kind() != Schema::BATCH && spec.kind() != Schema::SERVICE)
        return "kind: must be BATCH or SERVICE";
    return {};
}

} // namespace Batch
