#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <string_view>

namespace Fleet {

/*! What an owner examines workers, tasks, jobs and shards for. */
enum class StepKind {
    Preparation, //!< Demand, order of jobs, workers that are kept empty.
    Search, //!< Choice of workers for waiting tasks.
    Reservation, //!< Choice of workers to reserve.
    Relocation, //!< Choice of long-running tasks to relocate.
    Grouping, //!< Choice of latency-critical tasks to move.
    Slowness, //!< Choice of workers for throttled tasks.
    Attempts, //!< Timeouts of open attempts.
    Transfers, //!< Tasks that are delegated or could be.
    Waits, //!< Reports on waiting tasks.
    Calls, //!< What a transaction, a report, a list of workers or a load covers.
};

/*! Number of values of StepKind. */
inline constexpr std::size_t stepKindCount = 10;

/*! \return the name of a kind for logs and metrics. */
std::string_view nameOf(StepKind kind);

/*!
    Counts what one pass of an owner examines: each worker, task, job or shard is one step. In contrast to a
    time, the number of steps depends on neither the machine nor its load.
*/
class StepBudget {
public:
    /*! \param limit number of steps after which the pass is to be left. */
    explicit StepBudget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limit_(limit)
    {
    }

    /*! Limits the pass to \p steps further ones. */
    void limitFurther(std::size_t steps) { limit_ = total_ + steps; }

    void spend(StepKind kind, std::size_t steps)
    {
        byKind_[static_cast<std::size_t>(kind)] += steps;
        total_ += steps;
    }

    /*! \return the steps made so far. */
    std::size_t spent() const { return total_; }

    /*! \return the steps of one kind made so far. */
    std::size_t spent(StepKind kind) const { return byKind_[static_cast<std::size_t>(kind)]; }

    /*! \return whether \p limit steps of one kind are spent. */
    bool isSpent(StepKind kind, std::size_t limit) const { return spent(kind) >= limit; }

    /*! \return whether the pass is to be left. */
    bool isSpent() const { return total_ >= limit_; }

private:
    std::size_t limit_ = 0;
    std::size_t total_ = 0;
    std::array<std::size_t, stepKindCount> byKind_ {};
};

} // namespace Fleet
