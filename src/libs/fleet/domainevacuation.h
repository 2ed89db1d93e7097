#pragma once

#include "utils/clock.h"

#include <functional>
#include <span>
#include <string>

namespace Fleet {

class StepBudget;
struct Task;
struct Worker;

/*!
    Empties the workers of a shard whose failure domain the operator has evacuated.

    Handles the load that the rest of the domain's work is: tasks that end run to their end, because they are
    short and stopping them loses work. Long-running tasks are stopped one at a time, each only while another
    shard has room for it and no more tasks of its step are unavailable than may be, so that neither the tasks
    of one job go away together nor many tasks wait for the same room.
*/
class DomainEvacuation {
public:
    /*! \return whether another shard has a worker with room for the long-running task. */
    using RoomCheck = std::function<bool(const Task& task)>;

    /*! Sets whether the domain is evacuated. \return whether that has changed. */
    bool set(bool isRequested);

    /*! \return whether no attempt may be started on the workers. */
    bool isRequested() const { return isRequested_; }

    /*!
        Chooses the next long-running task to stop, at most one in an interval.

        \param workers workers of the shard, in the order of their identifiers.
        \param availabilityDelay time for which a long-running task must have been running to count as
            available.
        \param hasRoomElsewhere called for few tasks only.
        \param steps counts the tasks examined; once it is spent, the next call goes on with the next worker.
        \return the task, or nullptr if none may be stopped now.
    */
    Task* chooseTaskToMove(std::span<Worker* const> workers, Utils::Duration availabilityDelay,
        const RoomCheck& hasRoomElsewhere, Utils::TimePoint now, StepBudget& steps);

private:
    bool isRequested_ = false;
    Utils::TimePoint moveAllowedAt_ {};
    std::string nextSource_; //!< Worker examined first in the next call; empty: the first one.
};

} // namespace Fleet
