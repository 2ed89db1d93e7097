#pragma once

#include <batch/workercore.h>

#include <map>
#include <string>
#include <vector>

namespace StandIns {

/*! Tasks that only pass time: they progress, can be throttled, and write checkpoints that tell the progress.
 */
class SimulatedTasks {
public:
    /*! An attempt that ended by itself. */
    struct EndedAttempt {
        Batch::AttemptId attempt;
        Schema::AttemptState state = Schema::ATTEMPT_SUCCEEDED;
        std::string checkpoint;
        std::string reason;
    };

    /*! Obeys the worker core. \param orders its orders. \param fail whether started tasks fail at once. */
    void executeCommands(const Batch::WorkerOrders& commands, bool failTasks);

    /*! Lets time pass. \param step how long. \return attempts that ended. */
    std::vector<EndedAttempt> advance(Utils::Duration step);

    /*! \return progress of all running attempts, 0 to 1. */
    std::map<Batch::AttemptId, double> progress() const;

    /*! \return what the running attempts use, a sample for each class of tasks. */
    std::vector<Schema::UsageSample> usage() const;

private:
    struct Task {
        Schema::StartCommand command;
        double progress = 0;
        double share = 1;
        bool isCheckpointRequested = false;
        bool shouldFail = false;
    };

    std::map<Batch::AttemptId, Task> tasks_;
};

} // namespace StandIns
