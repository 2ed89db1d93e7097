#pragma once

#include "resources.h"

#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Placement {

/*! Number of a worker within one engine; never reused. */
using WorkerIndex = std::uint32_t;

/*! Number of an attempt, chosen by the owner of the task; never reused. */
using AttemptId = std::uint64_t;

/*! Whether a task ends or is kept running. */
enum class TaskKind {
    Batch, //!< Ends.
    Service, //!< A replica kept running.
};

/*! One attempt of a task that needs a worker. */
struct TaskRequest {
    AttemptId attempt = 0;
    std::string job;
    std::string team;
    std::string taskClass; //!< Tasks of one class interfere alike.
    TaskKind kind = TaskKind::Batch;
    std::uint32_t rank = 0; //!< Order of urgency, 0 is the most urgent.
    Resources declaredSize; //!< Size as submitted.
    Utils::Duration declaredRunTime {}; //!< Run time as submitted; 0 if unknown.
    std::optional<Utils::TimePoint> deadline;
    bool isCheckpointable = false;
    std::string region; //!< Empty: any.
};

} // namespace Placement
