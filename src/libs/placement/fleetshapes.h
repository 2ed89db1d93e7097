#pragma once

#include "taskrequest.h"
#include "teamquotas.h"

#include <map>
#include <string>

namespace Placement {

/*! Capacities that occur in the fleet; few, so that a check does not look at each worker. */
class FleetShapes {
public:
    /*!
        Counts a worker.
        \param region its region.
        \param capacity its capacity.
    */
    void add(const std::string& region, const Resources& capacity);

    /*!
        Takes a worker out.
        \param region its region, as given to add().
        \param capacity its capacity, as given to add().
    */
    void remove(const std::string& region, const Resources& capacity);

    /*!
        Why a task can never run on this fleet, whatever else runs.
        \param request the task.
        \param need what it would be given.
        \param quotas quotas of the teams.
        \return a sentence for the submitter; nothing if the task can run.
    */
    std::optional<std::string> infeasibilityReason(
        const TaskRequest& request, const Resources& need, const TeamQuotas& quotas) const;

    /*! \return a number that is raised whenever a shape appears or vanishes. */
    std::uint64_t revision() const { return revision_; }

private:
    using Shapes = std::map<Resources, std::size_t>;

    std::map<std::string, Shapes> regions_;
    std::uint64_t revision_ = 0;
};

} // namespace Placement
