#pragma once

#include "taskrequest.h"

#include "utils/result.h"

#include <unordered_map>
#include <vector>

namespace Placement {

/*!
    Accounts for the capacity committed to attempts on each worker.

    A commitment stays until release() is called because the attempt is known to have ended. No sequence of
    calls commits more than the capacity known at that moment. If the capacity is lowered below the committed
    amount, nothing more is committed until enough attempts have ended.
*/
class CapacityLedger {
public:
    /*! Capacity committed to one attempt. */
    struct Commitment {
        WorkerIndex worker = 0;
        Resources size;
    };

    /*!
        Adds a worker without commitments. Negative amounts in \a capacity count as 0.
        \return the index of the new worker.
    */
    WorkerIndex addWorker(const Resources& capacity);

    /*!
        Replaces the capacity of a worker. Negative amounts in \a capacity count as 0; existing commitments
        stay.
    */
    void setCapacity(WorkerIndex worker, const Resources& capacity);

    /*!
        Commits capacity of a worker to an attempt. Repeating the call with the same arguments changes
        nothing.
        \return success; InvalidArgument for an unknown worker or a negative size, Refused if the size does
                not fit, Conflict if the attempt already has a different commitment.
    */
    Utils::Status commit(AttemptId attempt, WorkerIndex worker, const Resources& size);

    /*!
        Ends the commitment of an attempt that is known to have ended.
        \return the commitment that was ended; nothing if the attempt is unknown.
    */
    std::optional<Commitment> release(AttemptId attempt);

    /*!
        \return the commitment of an attempt, valid until the next change of the ledger; nullptr if there is
                none.
    */
    const Commitment* find(AttemptId attempt) const;

    /*! \return the number of workers ever added. */
    std::size_t workerCount() const { return workers_.size(); }

    const Resources& capacity(WorkerIndex worker) const { return workers_[worker].capacity; }

    /*! \return the sum of all commitments on \p worker. */
    const Resources& committed(WorkerIndex worker) const { return workers_[worker].committed; }

    /*! \return the capacity that may still be committed on \p worker; no amount is negative. */
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
