#pragma once

#include "workerload.h"

#include <optional>
#include <span>

namespace Placement {

/*! Task and worker that are to be rated against each other. */
struct ScoreInput {
    const WorkerLoad& load;
    const Resources& capacity;
    Resources available; //!< What may still be committed.
    ClassIndex taskClass = 0;
    bool mustProtectServices = true; //!< Whether it must not make services miss their objective.
    Resources size; //!< What the task would be given.
    double expectedMilliProcessors = 0; //!< What it is expected to use.
    bool isDeadlineTight = false; //!< Whether its deadline leaves little slack.
};

/*!
    Shares of the processors that the classes on a worker are expected to use now.
    \param load what runs there.
    \param capacity the worker's capacity.
    \param meanRatios used over declared processors, by class.
    \param[out] mix the shares, in the order of load.classes.
*/
void currentMix(const WorkerLoad& load, const Resources& capacity, std::span<const double> meanUsageRatios,
    std::vector<ClassShare>& mix);

/*!
    Greatest predicted slowdown of the services on a worker.
    \param model the interference model.
    \param load what runs there.
    \param mix shares of the processors, beginning with those of load.classes.
    \return the slowdown, 1 without services.
*/
double serviceSlowdown(
    const InterferenceModel& model, const WorkerLoad& load, std::span<const ClassShare> mix);

/*!
    Rates a worker for a task.
    \param model the interference model.
    \param input task and worker.
    \param meanRatios used over declared processors, by class.
    \param parameters settings.
    \return the score, greater is better; nothing if services would be predicted to miss their objective.
*/
std::optional<double> scoreWorker(const InterferenceModel& model, const ScoreInput& input,
    std::span<const double> meanUsageRatios, const ScoreParameters& parameters);

} // namespace Placement
