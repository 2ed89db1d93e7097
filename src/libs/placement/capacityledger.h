#pragma once

#include "taskrequest.h"

#include "utils/result.h"

#include <unordered_map>
#include <vector>

namespace Placement {

/*!
    Bounds what is committed to each worker by its capacity.

    A commitment stays until release() tells that the attempt is known to have ended. No sequence of calls
    makes a commitment that exceeds the capacity known at that moment; if the capacity is lowered below
    what is committed, nothing more is committed until enough has ended.
*/
class CapacityLedger {
public:
    /*! One attempt's commitment. */
    struct Commitment {
        WorkerIndex worker = 0;
        Resources size;
    };

    /*!
        Adds a worker without commitments.
        \param capacity what it has; negative amounts count as 0.
        \return its number.
    */
    WorkerIndex addWorker(const Resources& capacity);

    /*!
        Replaces the capacity of a worker.
        \param worker the worker.
        \param capacity what it has now; negative amounts count as 0.
    */
    void setCapacity(WorkerIndex worker, const Resources& capacity);

    /*!
        Commits an attempt to a worker. Repeating it with the same arguments changes nothing.
        \param attempt the attempt.
        \param worker the worker.
        \param size what the attempt is given.
        \return success; InvalidArgument for an unknown worker or negative size, Refused if it does not fit,
                Conflict if the attempt is committed otherwise.
    */
    Utils::Status commit(AttemptId attempt, WorkerIndex worker, const Resources& size);

    /*!
        Ends a commitment, as the attempt is known to have ended. Unknown attempts are ignored.
        \param attempt the attempt.
        \return the commitment that was ended, if there was one.
    */
    std::optional<Commitment> release(AttemptId attempt);

    /*!
        The commitment of an attempt.
        \param attempt the attempt.
        \return the commitment, or nullptr.
    */
    const Commitment* find(AttemptId attempt) const;

    /*! \return number of workers ever added. */
    std::size_t workerCount() const { return workers_.size(); }

    /*! \return capacity of \p worker. */
    const Resources& capacity(WorkerIndex worker) const { return workers_[worker].capacity; }

    /*! \return sum of the commitments of \p worker. */
    const Resources& committed(WorkerIndex worker) const { return workers_[worker].committed; }

    /*! \return what may still be committed to \p worker; no amount is negative. */
    Resources available(WorkerIndex worker) const;

private:
    struct Worker {
        Resources capacity;
        Resources committed;
    };

    std::vector<Worker> workers_;
    std::unordered_map<AttemptId, Commitment> commitments_;
};

} // namespace Placement
