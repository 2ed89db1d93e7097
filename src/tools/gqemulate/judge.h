#pragma once

#include "simulatedworker.h"

#include <fleet.pb.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Emulate {

/*! Checks the promises to callers and workers from what workers did and what the store holds. */
class Judge {
public:
    /*! Notes a job that was handed in. \param spec the job. */
    void submitted(const FleetSchema::JobSpec& spec);

    /*! Notes a stored cancellation. \param job the job. \param nowMs virtual time. */
    void cancelled(const std::string& job, std::int64_t nowMs);

    /*! Notes a start that a worker carried out. \param worker where. \param order what. \param isLate whether
       the order was held up. \param nowMs virtual time. */
    void started(
        const std::string& worker, const Ports::StartCommand& order, bool isLate, std::int64_t nowMs);

    /*! Notes ends as they happen. \param ends the ends. */
    void ended(const std::vector<Ports::EndedAttempt>& ends);

    /*! Notes ends that were acknowledged. \param ended the ends. */
    void acknowledged(const std::vector<Ports::EndedAttempt>& ended);

    /*! Looks at all workers. \param workers the workers. \param nowMs virtual time. */
    void look(const std::vector<SimulatedWorker>& workers, std::int64_t nowMs);

    /*! Notes a job's stored state. \param record the record. */
    void stored(const FleetSchema::JobRecord& record);

    /*! \return what was broken, each with its time; empty if nothing was. */
    const std::vector<std::string>& faults() const { return faults_; }

private:
    void fault(const std::string& rule, const Ports::TaskKey& task, std::int64_t nowMs);

    std::map<std::string, FleetSchema::JobSpec> jobs_;
    std::map<std::string, std::int64_t> cancelledAt_;
    std::set<Ports::TaskKey> ended_; //!< Tasks with a successful end, acknowledged or not.
    std::set<Ports::TaskKey> done_; //!< Tasks with an acknowledged successful end.
    std::map<Ports::TaskKey, std::uint32_t> failures_; //!< Acknowledged failures.
    std::set<std::string> reported_;
    std::vector<std::string> faults_;
};

} // namespace Emulate
