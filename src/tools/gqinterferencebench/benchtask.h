#pragma once

#include <placement/taskrequest.h>

namespace Bench {

/*! Progress of one task of the measured workload. */
enum class TaskPhase {
    Future, //!< Not yet submitted.
    Waiting,
    Starting,
    Running,
    Evicting, //!< Writes a checkpoint or stops.
    Done,
};

/*! One batch task with what it declares and what it really needs. */
struct BenchTask {
    Placement::TaskRequest request; //!< As submitted; the attempt number is set anew with each start.
    std::size_t number = 0;
    std::size_t taskClass = 0;
    double processors = 0; //!< Really used.
    double memoryMb = 0; //!< Really used.
    double runSeconds = 0; //!< Undisturbed.
    double submittedAt = 0; //!< Seconds from the beginning.
    double deadlineAt = 0; //!< Seconds from the beginning; 0 if none.
    bool isUrgent = false;

    TaskPhase phase = TaskPhase::Future;
    std::size_t worker = 0;
    double phaseEndsAt = 0; //!< Starting and Leaving.
    double completedSeconds = 0; //!< Undisturbed seconds worked off.
    double checkpointedSeconds = 0; //!< Of these, kept by the latest checkpoint.
    bool keepsProgress = false; //!< Leaving: whether a checkpoint is written.
    double firstStartAt = -1;
    double endedAt = -1;
    std::uint32_t startCount = 0;
};

} // namespace Bench
