#include "workerkinds.h"

#include "worker.h"
#include "workercommitment.h"

#include <fleet.pb.h>

#include <algorithm>
#include <limits>
#include <string>

namespace Fleet {

namespace {

FleetSchema::WorkerKind& ensureKind(const std::string& label, FleetSchema::ShardLoad& load)
{
    auto& kinds = *load.mutable_worker_kinds();
    const auto found
        = std::find_if(kinds.begin(), kinds.end(), [&](const auto& kind) { return kind.label() == label; });
    if (found != kinds.end())
        return *found;
    FleetSchema::WorkerKind& added = *load.add_worker_kinds();
    added.set_label(label);
    return added;
}

void addTo(FleetSchema::WorkerKind& kind, const Worker& worker)
{
    kind.set_workers(kind.workers() + 1);
    kind.set_milli_processors(std::max(kind.milli_processors(), worker.info.milliProcessors));
    kind.set_memory_mb(std::max(kind.memory_mb(), worker.info.memoryMb));
    kind.set_accelerators(std::max(kind.accelerators(), worker.info.accelerators));
}

std::uint64_t slotsOnWorker(const FleetSchema::StepSpec& step, const FleetSchema::WorkerKind& kind)
{
    const Placement::Resources size = committedSize(step);
    const Placement::Resources capacity { kind.milli_processors(), kind.memory_mb(), kind.accelerators() };
    if (!size.fitsIn(capacity))
        return 0;
    std::uint64_t slots = std::numeric_limits<std::uint32_t>::max();
    const auto limit = [&slots](std::int64_t available, std::int64_t requested) {
        if (requested > 0)
            slots = std::min(slots, static_cast<std::uint64_t>(available / requested));
    };
    limit(capacity.milliProcessors, size.milliProcessors);
    limit(capacity.memoryMb, size.memoryMb);
    limit(capacity.accelerators, size.accelerators);
    return step.max_per_worker() > 0 ? std::min<std::uint64_t>(slots, step.max_per_worker()) : slots;
}

} // namespace

void addToWorkerKinds(const Worker& worker, FleetSchema::ShardLoad& load)
{
    addTo(ensureKind({}, load), worker);
    for (const std::string& label : worker.info.labels)
        addTo(ensureKind(label, load), worker);
}

std::uint64_t countSlots(const FleetSchema::StepSpec& step, const FleetSchema::ShardLoad& load)
{
    // An owner of an earlier version reports the processors of its largest worker only.
    if (load.worker_kinds().empty()) {
        return committedSize(step).milliProcessors <= load.largest_worker()
            ? std::numeric_limits<std::uint32_t>::max()
            : 0;
    }
    const auto& kinds = load.worker_kinds();
    const auto found = std::find_if(
        kinds.begin(), kinds.end(), [&](const auto& kind) { return kind.label() == step.required_label(); });
    return found == kinds.end() ? 0 : found->workers() * slotsOnWorker(step, *found);
}

bool canHostPart(const FleetSchema::StepSpec& step, const FleetSchema::ShardLoad& load)
{
    return step.gang() && !step.lasting() && load.hosts_gang_parts() && countSlots(step, load) > 0;
}

bool canEverRun(const FleetSchema::StepSpec& step, const FleetSchema::ShardLoad& load)
{
    return countSlots(step, load) >= (step.gang() ? step.count() : 1);
}

} // namespace Fleet
