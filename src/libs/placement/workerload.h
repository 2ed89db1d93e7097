#pragma once

#include "interferencemodel.h"
#include "taskrequest.h"

#include <vector>

namespace Placement {

/*! Tasks of one class on one worker. */
struct ClassLoad {
    ClassIndex taskClass = 0;
    TaskKind kind = TaskKind::Batch;
    std::uint32_t count = 0;
    Resources declaredSize; //!< Sum of what they declared.
    Utils::TimePoint changedAt {}; //!< When a task of the class last came or went.
};

/*! What runs on one worker, by class, and how its services fare. */
struct WorkerLoad {
    std::vector<ClassLoad> classes;
    double throttleShare = 1; //!< Share of their processors that batch tasks have while throttled.
    double latencyRatio = 0; //!< Last measured tail latency over objective; 0 if never measured.
    double slowdownAtMeasurement
        = 1; //!< Predicted slowdown of the services for what ran at that measurement.
};

/*! Settings of the scoring of workers. */
struct ScoreParameters {
    double targetLatencyRatio
        = 0.7; //!< Predicted tail latency over objective up to which batch work is added.
    double tightDeadlineLatencyRatio = 0.85; //!< The same for tasks whose deadline is near.
    double latencyWeight = 0.5; //!< Weight of the services' predicted ratio, in processors' worth of work.
    double latencyExcessWeight = 10; //!< Weight of a predicted ratio above the target, for urgent work.
    double imbalanceWeight = 0.1; //!< Weight of an uneven rest of processors and memory.
    double ownSlowdownWeight = 1; //!< Weight of the task's own slowdown if its deadline is near.
};

} // namespace Placement
