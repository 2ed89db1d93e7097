#pragma once

#include "resources.h"

#include "utils/result.h"

#include <map>
#include <string>
#include <string_view>

namespace Placement {

/*! Limits the capacity held by the tasks of each team. Teams without a quota are not limited. */
class TeamQuotas {
public:
    /*!
        Sets the quota of a team. Lowering it ends no tasks; the team gets no more capacity until its usage is
        below the quota.
    */
    void setQuota(std::string_view team, const Resources& quota);

    void removeQuota(std::string_view team);

    /*! \return true if the quota of a team allows it to hold \p size in addition to its usage. */
    bool allows(std::string_view team, const Resources& size) const;

    /*! \return true if \p size exceeds the quota of a team even if the team holds nothing else. */
    bool exceedsQuota(std::string_view team, const Resources& size) const;

    /*! Adds capacity that was committed to a team's task. */
    void charge(std::string_view team, const Resources& size);

    /*! Subtracts capacity that a team's task no longer holds. */
    void release(std::string_view team, const Resources& size);

    /*! \return the capacity held by the tasks of \p team. */
    Resources usage(std::string_view team) const;

private:
    struct Team {
        Resources quota;
        Resources usage;
        bool hasQuota = false;
    };

    Team& findOrAddTeam(std::string_view team);

    std::map<std::string, Team, std::less<>> teams_;
};

} // namespace Placement
