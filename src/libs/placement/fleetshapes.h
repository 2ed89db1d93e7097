#pragma once

#include "taskrequest.h"
#include "teamquotas.h"

#include <map>
#include <string>

namespace Placement {

/*!
    Counts the distinct worker capacities in each region of the fleet.

    There are few distinct capacities, so a feasibility check does not have to look at each worker.
*/
class FleetShapes {
public:
    void add(const std::string& region, const Resources& capacity);

    /*! Removes a worker; both arguments must be those that were given to add(). */
    void remove(const std::string& region, const Resources& capacity);

    /*!
        Explains why a task cannot run on this fleet even if nothing else runs there.
        \param need the capacity that would be committed to the task.
        \return a message for the submitter; nothing if the task can run.
    */
    std::optional<std::string> infeasibilityReason(
        const TaskRequest& request, const Resources& need, const TeamQuotas& quotas) const;

    /*! \return a number that increases whenever a distinct capacity appears or disappears. */
    std::uint64_t revision() const { return revision_; }

private:
    using Shapes = std::map<Resources, std::size_t>;

    std::map<std::string, Shapes> regions_;
    std::uint64_t revision_ = 0;
};

} // namespace Placement
