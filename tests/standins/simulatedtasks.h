#pragma once

#include <batch/workercore.h>

#include <map>
#include <string>
#include <vector>

namespace StandIns {

/*! Simulated tasks, whose progress depends only on time and throttling. Checkpoints contain the progress. */
class SimulatedTasks {
public:
    /*! An attempt that succeeded, failed or wrote a checkpoint. */
    struct EndedAttempt {
        Batch::AttemptId attempt;
        Schema::AttemptState state = Schema::ATTEMPT_SUCCEEDED;
        std::string checkpoint;
        std::string reason;
    };

    /*! Executes the commands of the worker core; with \a failTasks, started tasks fail immediately. */
    void executeCommands(const Batch::RunnerCommands& commands, bool failTasks);

    /*! Advances the time by \a step and returns the attempts that ended. */
    std::vector<EndedAttempt> advance(Utils::Duration step);

    /*! Returns the progress of all running attempts, from 0 to 1. */
    std::map<Batch::AttemptId, double> progress() const;

    /*! Returns the resource usage of the running attempts, with one sample per task class. */
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
