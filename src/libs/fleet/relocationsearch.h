#pragma once

#include "placement/resources.h"
#include "ports/taskkey.h"
#include "utils/clock.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Fleet {

class StepBudget;
struct Task;
struct Worker;

/*!
    Searches a shard for a long-running task to relocate so that another one finds free capacity.

    In a shard full of long-running tasks, the free capacity is spread over many workers, with too little on
    each, or is only on workers where the step must not have another task. The search picks the smallest task
    whose capacity, together with what is free and what short tasks will free, suffices, and that fits on
    another worker at once. If there is none on a worker, it considers up to three tasks that suffice
   together.

    A call examines a bounded part of the shard, and the next one goes on from there. A search that found
    nothing is not repeated for a while, nor made for other tasks that need at least as much.
*/
class RelocationSearch {
public:
    /*!
        Searches for the first of the waiting tasks for which a move helps.

        \param waiting tasks that fit on no worker, the most urgent first; that of current() should come
            before them.
        \param workers the shard's workers, in the order of their identifiers.
        \param availabilityDelay time for which a long-running task must have been running to count as
            available.
        \param steps limits and counts what the call examines.
        \return the task to stop; nullptr if none has been found yet.
    */
    Task* search(std::span<Task* const> waiting, std::span<Worker* const> workers,
        Utils::Duration availabilityDelay, Utils::TimePoint now, StepBudget& steps);

    /*! \return the task for which the search has not examined all workers yet. */
    std::optional<Ports::TaskKey> current() const;

    /*! How far the search for one task has come. */
    struct Cursor {
        Ports::TaskKey task;
        std::string nextSource; //!< Worker whose tasks are examined next; empty: the first one.
        bool mayProbe = false; //!< Moves to quarantined workers are examined.
        bool isAtEnd = false;
    };

private:
    /*! What a task for which no move helped needs. */
    struct FailedSearch {
        Ports::TaskKey task; //!< A task of the step.
        bool isSpreadLimited = false;
        std::string service;
        std::string label;
        Placement::Resources size;
        Utils::TimePoint failedAt {};
    };

    bool hasFailed(const Task& task) const;
    void addFailed(const Task& task, Utils::TimePoint now);

    std::vector<FailedSearch> failedSearches_;
    std::optional<Cursor> cursor_;
};

} // namespace Fleet
