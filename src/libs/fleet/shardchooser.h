#pragma once

#include "gangshare.h"
#include "memberview.h"

#include <fleet.pb.h>

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Fleet {

/*! \return the milli-processors that a job requests in its widest step. */
std::int64_t peakMilliProcessors(const FleetSchema::JobSpec& spec);

struct ShardChoice {
    std::string shard; //!< Empty if no shard can run the job.
    bool isOverloaded = false; //!< Shards have workers that are large enough, but not the free capacity.
};

/*!
    Chooses shards for new jobs by the loads that their owners report. Best-effort jobs are spread by
    the unused processors, other jobs by the committed ones.

    Owners report loads about once a second, and in a burst all jobs in between would go to the shard
    that was least loaded at the last report. Therefore the work that this node has assigned since then
    is added to the report. Nodes that see the same loads would also start a flood of jobs with the same
    few shards; therefore two shards are sampled by their free capacity, and the less loaded one is
    chosen. The sample depends only on the job's identifier.

    A shard is chosen whose workers can ever run the most steps of a job: that have the labels and are large
    enough. A job is rejected if the workers of no shard can ever run one of its steps.

    A long-running job holds its capacity for good, so it is rejected at once when no shard has capacity
    for all of it and for restarts of other tasks.
*/
class ShardChooser {
public:
    /*! Updates the owners and their loads, by shard. */
    void update(const std::map<std::string, ShardOwnerInfo>& owners);

    /*! Sets the shards whose workers get no new attempts, whatever their owners report. */
    void setClosedShards(std::set<std::string> shards) { closedShards_ = std::move(shards); }

    /*!
        \return whether a shard other than \p originShard has a worker with room for a long-running task.
    */
    bool hasRoomElsewhere(
        const std::string& originShard, const FleetSchema::JobSpec& spec, std::uint32_t step) const;

    /*!
        Records whether a shard's owner answered a call. The shard of an unresponsive owner gets no
        new jobs for some updates, unless all owners are unresponsive: the owner's successor is not
        known yet, and the job would be bound to the shard.
    */
    void setOwnerResponsive(const std::string& shard, bool isResponsive);

    /*!
        Chooses the shard of a job and counts the job as assigned to it.

        \param assigningNodes number of nodes that assign jobs; each knows only its own assignments.
    */
    ShardChoice choose(const FleetSchema::JobSpec& spec, std::size_t assigningNodes);

    /*!
        Finds another shard for one task.

        \param originShard shard without a worker for the task.
        \param waited how long the task has waited in that shard.
        \param assigningNodes as for choose().
        \param returnedBy shards that have returned the task, the latest one last; they come after all others.
        \return the shard with the smallest share of long-running tasks or, for a task that ends, with the
            least load; empty if none has enough free capacity.
    */
    std::string findForTask(const std::string& originShard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
        std::span<const std::string> returnedBy = {});

    /*!
        Divides a gang among the shards of its service in proportion to their free capacity.

        \param assigningNodes as for choose().
        \return the shares; empty if the free capacity of all shards is too small, or that of one shard is
       all.
    */
    std::vector<GangShare> divideGang(
        const FleetSchema::JobSpec& spec, std::uint32_t step, std::size_t assigningNodes) const;

    /*! Counts a task as delegated to \p shard. */
    void countDelegation(const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step);

    /*! Finds another shard for one task as findForTask() does, and counts the task as delegated to it. */
    std::string chooseForTask(const std::string& originShard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
        std::span<const std::string> returnedBy = {});

    /*! \return what the latest choose() or findForTask() has examined: steps of the job, and shards for them.
     */
    std::size_t latestSteps() const { return latestSteps_; }

private:
    struct AssignedWork {
        std::int64_t committed = 0; //!< Milli-processors.
        std::int64_t bestEffort = 0; //!< Milli-processors.
    };

    bool hasCapacity(const FleetSchema::JobSpec& spec, std::int64_t peak, const FleetSchema::ShardLoad& load,
        const AssignedWork& assigned, std::size_t assigningNodes) const;
    static double freeMilliProcessors(
        const FleetSchema::ShardLoad& load, const AssignedWork& assigned, std::size_t assigningNodes);
    double costOf(bool isForLeftOver, const FleetSchema::ShardLoad& load, const AssignedWork& assigned,
        std::size_t assigningNodes) const;

    std::uint32_t countFreeSlots(const std::string& shard, const ShardOwnerInfo& owner,
        const FleetSchema::StepSpec& step, std::size_t assigningNodes) const;
    double delegationCostLimit(const std::string& originShard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited) const;
    bool mustLeave(const std::string& originShard, Utils::Duration waited) const;
    bool isUnresponsive(const std::string& shard, const ShardOwnerInfo& owner) const;
    bool mayHost(
        const std::string& shard, const ShardOwnerInfo& owner, const FleetSchema::StepSpec& step) const;

    std::size_t latestSteps_ = 0;
    std::map<std::string, ShardOwnerInfo> owners_;
    std::set<std::string> closedShards_; //!< As in setClosedShards().
    //! Milli-processors of tasks delegated since the shard's load last changed.
    std::map<std::string, std::int64_t> delegated_;
    std::map<std::string, int> unresponsiveUpdates_; //!< Updates for which the shard still gets no new jobs.
    std::map<std::string, AssignedWork> assigned_; //!< Work assigned since the shard's load last changed.
};

} // namespace Fleet
