#pragma once

#include "resources.h"

#include "utils/result.h"

#include <map>
#include <string>
#include <string_view>

namespace Placement {

/*! Bounds what the tasks of each team hold together. Teams without a quota are not bounded. */
class TeamQuotas {
public:
    /*!
        Sets the quota of a team. Lowering it ends nothing; the team gets nothing more until it is below.
        \param team the team.
        \param quota what its tasks may hold together.
    */
    void setQuota(std::string_view team, const Resources& quota);

    /*!
        Lifts the quota of a team.
        \param team the team.
    */
    void removeQuota(std::string_view team);

    /*!
        Whether a team may hold more.
        \param team the team.
        \param size what is asked for.
        \return true if the quota allows it.
    */
    bool allows(std::string_view team, const Resources& size) const;

    /*!
        Whether a size exceeds the whole quota of a team.
        \param team the team.
        \param size what is asked for.
        \return true if the team could not hold it even if it usage nothing else.
    */
    bool exceedsQuota(std::string_view team, const Resources& size) const;

    /*!
        Counts what a team has been given.
        \param team the team.
        \param size what it holds more.
    */
    void charge(std::string_view team, const Resources& size);

    /*!
        Counts what a team has given back.
        \param team the team.
        \param size what it holds less.
    */
    void release(std::string_view team, const Resources& size);

    /*! \return what the tasks of \p team hold. */
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
