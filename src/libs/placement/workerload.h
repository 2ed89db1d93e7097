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
    Resources declaredSize; //!< Sum over the tasks.
    Utils::TimePoint changedAt {}; //!< When a task of the class last started or ended.
};

/*! Tasks on one worker by class, and the state of its services. */
struct WorkerLoad {
    std::vector<ClassLoad> classes;
    double throttleShare
        = 1; //!< Share of their processors that batch tasks get; 1 if they are not throttled.
    double latencyRatio = 0; //!< Last measured ratio of tail latency to objective; 0 if never measured.
    double slowdownAtMeasurement = 1; //!< Predicted slowdown of the services at the time of that measurement.
};

/*! Settings of scoreWorker(). */
struct ScoreParameters {
    double targetLatencyRatio
        = 0.7; //!< Predicted ratio of tail latency to objective up to which batch tasks are added.
    double tightDeadlineLatencyRatio = 0.85; //!< Replaces targetLatencyRatio for tasks with a near deadline.
    double latencyWeight
        = 0.5; //!< Weight of the services' predicted ratio, relative to the task's throughput.
    double latencyExcessWeight
        = 10; //!< Weight of the part of a predicted ratio above the target, for urgent tasks.
    double imbalanceWeight
        = 0.1; //!< Weight of the difference between the free shares of processors and memory.
    double ownSlowdownWeight = 1; //!< Weight of the task's own slowdown if its deadline is near.
};

} // namespace Placement
