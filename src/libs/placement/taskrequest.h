#pragma once

#include "resources.h"

#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Placement {

/*! Index of a worker within one engine; never reused. */
using WorkerIndex = std::uint32_t;

/*! Number of an attempt, chosen by the owner of the task; never reused. */
using AttemptId = std::uint64_t;

enum class TaskKind {
    Batch, //!< Runs until it is done.
    Service, //!< A replica that is kept running.
};

/*! One attempt of a task that is to be placed on a worker. */
struct TaskRequest {
    AttemptId attempt = 0;
    std::string job;
    std::string team;
    std::string taskClass; //!< Tasks of one class are assumed to interfere in the same way.
    TaskKind kind = TaskKind::Batch;
    std::uint32_t rank = 0; //!< 0 is the most urgent.
    Resources declaredSize; //!< As submitted.
    Utils::Duration declaredRunTime {}; //!< As submitted; 0 if unknown.
    std::optional<Utils::TimePoint> deadline;
    bool isCheckpointable = false;
    std::string region; //!< Empty for any region.
};

} // namespace Placement
