#pragma once

#include "workerload.h"

#include <optional>
#include <span>

namespace Placement {

/*! A task and a worker to be scored for it. */
struct ScoreInput {
    const WorkerLoad& load;
    const Resources& capacity;
    Resources available; //!< Capacity that may still be committed.
    ClassIndex taskClass = 0;
    bool mustProtectServices
        = true; //!< Whether workers whose predicted latency ratio exceeds the target are excluded.
    Resources size; //!< Capacity that would be committed to the task.
    double expectedMilliProcessors = 0; //!< Expected use of processors by the task, in thousandths.
    bool isDeadlineTight = false; //!< Whether the deadline of the task leaves little slack.
};

/*!
    Computes the shares of a worker's processors that its task classes are expected to use now.
    \param meanUsageRatios ratio of used to declared processors by class; 1 for classes beyond its end.
    \param[out] mix the shares, in the order of load.classes.
*/
void currentMix(const WorkerLoad& load, const Resources& capacity, std::span<const double> meanUsageRatios,
    std::vector<ClassShare>& mix);

/*!
    \param mix shares of the processors, beginning with those of load.classes.
    \return the highest predicted slowdown among the services on a worker; 1 without services.
*/
double serviceSlowdown(
    const InterferenceModel& model, const WorkerLoad& load, std::span<const ClassShare> mix);

/*!
    Scores a worker for a task.
    \param meanUsageRatios ratio of used to declared processors by class; 1 for classes beyond its end.
    \return the score, higher is better; nothing if the task must protect services and their predicted ratio
            of tail latency to objective exceeds the target.
*/
std::optional<double> scoreWorker(const InterferenceModel& model, const ScoreInput& input,
    std::span<const double> meanUsageRatios, const ScoreParameters& parameters);

} // namespace Placement
