#pragma once

#include "placer.h"

namespace Batch {

/*! Places each task at the first worker with enough free capacity for its declared size. */
class FirstFitPlacer final : public Placer {
public:
    std::vector<PlacementDecision> place(std::span<const PendingTask> tasks,
        std::span<const AvailableWorker> workers, std::span<const RunningTask> running,
        Utils::TimePoint now) override;
};

} // namespace Batch
