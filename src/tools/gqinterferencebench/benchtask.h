#pragma once

#include <placement/taskrequest.h>

namespace Bench {

/*! Progress of a task. */
enum class TaskPhase {
    Future, //!< Not yet submitted.
    Waiting,
    Starting,
    Running,
    Evicting, //!< Writes a checkpoint or is being stopped.
    Done,
};

/*! A batch task with its declared and its true needs. */
struct BenchTask {
    Placement::TaskRequest request; //!< As submitted, without an attempt number; each start uses a new one.
    std::size_t number = 0;
    std::size_t taskClass = 0;
    double processors = 0; //!< True use while the task runs.
    double memoryMb = 0; //!< True use while the task runs.
    double runSeconds = 0; //!< True run time without interference.
    double submittedAt = 0; //!< Seconds since the beginning.
    double deadlineAt = 0; //!< Seconds since the beginning; 0 if there is no deadline.
    bool isUrgent = false;

    TaskPhase phase = TaskPhase::Future;
    std::size_t worker = 0;
    double phaseEndsAt = 0; //!< End of the phases Starting and Evicting.
    double completedSeconds = 0; //!< Completed part of runSeconds.
    double checkpointedSeconds = 0; //!< Part of completedSeconds that is saved in the latest checkpoint.
    bool keepsProgress = false; //!< Whether a checkpoint is written while Evicting.
    double firstStartAt = -1;
    double endedAt = -1;
    std::uint32_t startCount = 0;
};

} // namespace Bench
