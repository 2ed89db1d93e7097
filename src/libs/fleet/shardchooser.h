#pragma once

#include "memberview.h"

#include <fleet.pb.h>

#include <map>
#include <string>

namespace Fleet {

/*! Processors that a job takes at its widest. \param spec the job. \return milli-processors. */
std::int64_t peakMilliProcessors(const FleetSchema::JobSpec& spec);

/*! Outcome of the choice of a shard. */
struct ShardChoice {
    std::string shard; //!< Empty if none can take the job.
    bool isOverloaded = false; //!< Shards have workers for the job, but no room.
};

/*!
    Chooses the shards of new jobs by the loads that the owners told. Work for leftover processors is spread
   by the room on workers without latency targets, other work by committed processors.

    Answers bursts: loads are told about once a second, and jobs that come meanwhile would all go to the shard
   that was least loaded then. So what this node has assigned since the last report is added to the report,
   and the less loaded of two shards is taken that are drawn by their room: nodes that see the same loads
   would otherwise all begin a flood of jobs with the same few shards. The draw follows from the job's
   identifier. A lasting job holds its room for good, so it is refused at once when no shard has room for all
   of it and for restarts of others.
*/
class ShardChooser {
public:
    /*! Takes in the owners' loads. \param holders owners by shard. */
    void update(const std::map<std::string, ShardOwnerInfo>& owners);

    /*! Takes in whether a shard's owner answered. A silent one gets no new jobs for some updates, unless all
       are silent: its successor is not known yet, and the job would be bound to the shard.
        \param shard the shard. \param isResponsive whether its owner served a call. */
    void setOwnerResponsive(const std::string& shard, bool isResponsive);

    /*!
        Chooses the shard of a job and counts the job to it.
        \param spec the job.
        \param nodes number of nodes that assign jobs, each seeing only its own share.
        \return the shard, or why there is none.
    */
    ShardChoice choose(const FleetSchema::JobSpec& spec, std::size_t assigningNodes);

    /*!
        Chooses another shard for one lasting task and counts the task to it.
        \param own the shard that has no room.
        \param spec the job.
        \param step the task's step.
        \return the shard with most room; empty if none has enough.
    */
    std::string chooseForTask(
        const std::string& originShard, const FleetSchema::JobSpec& spec, std::uint32_t step);

private:
    struct AssignedWork {
        std::int64_t committed = 0; //!< Milli-processors.
        std::int64_t bestEffort = 0; //!< Milli-processors.
    };

    bool hasCapacity(const FleetSchema::JobSpec& spec, const FleetSchema::ShardLoad& load,
        const AssignedWork& assigned, std::size_t assigningNodes) const;
    static double freeMilliProcessors(
        const FleetSchema::ShardLoad& load, const AssignedWork& assigned, std::size_t assigningNodes);
    double costOf(const FleetSchema::JobSpec& spec, const FleetSchema::ShardLoad& load,
        const AssignedWork& assigned, std::size_t assigningNodes) const;

    std::map<std::string, ShardOwnerInfo> owners_;
    std::map<std::string, std::int64_t>
        delegated_; //!< Milli-processors of tasks lent since the shard's load last changed.
    std::map<std::string, int> unresponsiveUpdates_; //!< Updates for which the shard is still left out.
    std::map<std::string, AssignedWork> assigned_; //!< Since the shard's load last changed.
};

} // namespace Fleet
