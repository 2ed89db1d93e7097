#include "teamquotas.h"

namespace Placement {

TeamQuotas::Team& TeamQuotas::teamOf(std::string_view team)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
        return found->second;
    return teams_.emplace(team, Team {}).first->second;
}

void TeamQuotas::setQuota(std::string_view team, const Resources& quota)
{
    Team& entry = teamOf(team);
    entry.quota = quota;
    entry.isBounded = true;
}

void TeamQuotas::removeQuota(std::string_view team)
{
    teamOf(team).isBounded = false;
}

bool TeamQuotas::allows(std::string_view team, const Resources& size) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || !found->second.isBounded)
        return true;
    return size.fitsIn(found->second.quota - found->second.held);
}

bool TeamQuotas::exceedsQuota(std::string_view team, const Resources& size) const
{
    const auto found = teams_.find(team);
    return found != teams_.end() && found->second.isBounded && !size.fitsIn(found->second.quota);
}

void TeamQuotas::take(std::string_view team, const Resources& size)
{
    teamOf(team).held += size;
}

void TeamQuotas::giveBack(std::string_view team, const Resources& size)
{
    teamOf(team).held -= size;
}

Resources TeamQuotas::held(std::string_view team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? Resources {} : found->second.held;
}

} // namespace Placement
