#include "jobassignment.h"

#include "commitments.h"

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

bool isName(std::string_view text)
{
    return text.size() <= maxNameLength && std::ranges::all_of(text, isNameCharacter);
}

bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

double timesContained(double room, double size)
{
    return size <= 0 ? unlimited : std::floor(room / size);
}

// How many tasks a room holds, as an estimate over all workers together.
std::uint32_t taskRoom(const Schema::TaskSize& room, const Schema::TaskSize& size)
{
    const double count = std::min({ timesContained(room.processors(), size.processors()),
        timesContained(room.memory_mb(), size.memory_mb()),
        timesContained(room.accelerators(), size.accelerators()), unlimited });
    return static_cast<std::uint32_t>(std::max(0.0, count));
}

bool fitsAnyWorker(const ShardOffer& offer, const Schema::TaskSize& size)
{
    const auto fits = [&](const Schema::TaskSize& kind) { return sizeFits(kind, size); };
    return std::ranges::any_of(offer.row.capacity().kinds(), fits);
}

struct Share {
    const ShardOffer* offer = nullptr;
    std::uint32_t freeRoom = 0;
    std::uint32_t totalRoom = 0;
    std::uint32_t count = 0;
};

std::vector<Share> usableShares(const Schema::JobSpec& spec, std::span<const ShardOffer> shards)
{
    std::vector<Share> shares;
    for (const ShardOffer& offer : shards) {
        if (!spec.region().empty() && spec.region() != offer.row.region())
            continue;
        if (!fitsAnyWorker(offer, spec.size()))
            continue;
        const Schema::ShardCapacity& capacity = offer.row.capacity();
        shares.push_back({ &offer, taskRoom(capacity.free(), spec.size()),
            std::max<std::uint32_t>(1, taskRoom(capacity.total(), spec.size())), 0 });
    }
    return shares;
}

void divideBatch(std::uint32_t count, std::vector<Share>& shares)
{
    std::ranges::sort(shares, [](const Share& a, const Share& b) { return a.freeRoom > b.freeRoom; });
    std::uint32_t left = count;
    for (Share& share : shares) {
        share.count = std::min(left, share.freeRoom);
        left -= share.count;
    }
    // What no free room takes waits where the most can run.
    double total = 0;
    for (const Share& share : shares)
        total += share.totalRoom;
    const std::uint32_t waiting = left;
    for (Share& share : shares) {
        const auto part
            = std::min(left, static_cast<std::uint32_t>(std::ceil(waiting * (share.totalRoom / total))));
        share.count += part;
        left -= part;
    }
}

void spreadService(std::uint32_t count, std::vector<Share>& shares)
{
    std::map<std::string, std::uint32_t> perDomain;
    for (std::uint32_t replica = 0; replica < count; ++replica) {
        const auto lighter = [&](const Share& a, const Share& b) {
            const std::uint32_t domainA = perDomain[a.offer->row.domain()];
            const std::uint32_t domainB = perDomain[b.offer->row.domain()];
            const bool fullA = a.count >= a.totalRoom;
            const bool fullB = b.count >= b.totalRoom;
            return std::tie(fullA, domainA, a.count) < std::tie(fullB, domainB, b.count);
        };
        Share& share = *std::ranges::min_element(shares, lighter);
        ++share.count;
        ++perDomain[share.offer->row.domain()];
    }
}

} // namespace

JobAssignment assignJob(const Schema::JobSpec& spec, std::span<const ShardOffer> shards)
{
    JobAssignment assignment;
    std::vector<Share> shares = usableShares(spec, shards);
    if (shares.empty()) {
        assignment.reason = spec.region().empty()
            ? "no worker is large enough for one task"
            : "no worker of region " + spec.region() + " is large enough for one task";
        return assignment;
    }
    if (spec.kind() == Schema::SERVICE)
        spreadService(spec.count(), shares);
    else
        divideBatch(spec.count(), shares);
    std::uint32_t first = 0;
    for (const Share& share : shares) {
        if (share.count == 0)
            continue;
        Schema::JobPart& part = assignment.parts.emplace_back();
        part.set_shard(share.offer->shard);
        part.set_first(first);
        part.set_count(share.count);
        first += share.count;
    }
    return assignment;
}

std::string jobSpecFault(const Schema::JobSpec& spec)
{
    if (!isName(spec.id()))
        return "id: at most 64 letters, digits, '.', '_' or '-' are allowed";
    if (spec.count() < 1 || spec.count() > maxTasks)
        return "count: must be from 1 to " + std::to_string(maxTasks);
    if (!isAmount(spec.size().processors()) || !isAmount(spec.size().memory_mb()))
        return "size: processors and memory_mb must not be negative";
    if (spec.size().processors() <= 0)
        return "size: processors must be above 0";
    if (spec.kind() != Schema::BATCH && spec.kind() != Schema::SERVICE)
        return "kind: must be BATCH or SERVICE";
    return {};
}

} // namespace Batch
