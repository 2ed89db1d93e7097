#pragma once

#include "memberview.h"

#include <fleet.pb.h>

#include <map>
#include <string>

namespace Fleet {

/*! Total work of a job's tasks. \param spec the job. \return milli-processor milliseconds. */
std::int64_t workOf(const FleetSchema::JobSpec& spec);

/*! Processors that a job takes at its widest. \param spec the job. \return milli-processors. */
std::int64_t widthOf(const FleetSchema::JobSpec& spec);

/*!
    Chooses the shards of new jobs by the loads that the owners told.

    Answers bursts: loads are told about once a second, and jobs that come meanwhile would all go to the shard that was
    least loaded then. So what this node has assigned since the last report is added to the report.
*/
class ShardChooser {
public:
    /*! Takes in the owners' loads. \param holders owners by shard. */
    void update(const std::map<std::string, ShardHolder>& holders);

    /*!
        Chooses the shard of a job and counts the job to it.
        \param spec the job.
        \param nodes number of nodes that assign jobs, each seeing only its own share.
        \return the shard; empty if none can take it.
    */
    std::string choose(const FleetSchema::JobSpec& spec, std::size_t nodes);

private:
    struct Assigned {
        std::int64_t width = 0;
        std::int64_t work = 0;
    };

    std::map<std::string, ShardHolder> holders_;
    std::map<std::string, Assigned> assigned_; //!< Since the shard's load last changed.
};

} // namespace Fleet
