#include "teamquotas.h"

namespace Placement {

TeamQuotas::Team& TeamQuotas::findOrAddTeam(std::string_view team)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
        return found->second;
    return teams_.emplace(team, Team {}).first->second;
}

void TeamQuotas::setQuota(std::string_view team, const Resources& quota)
{
    Team& entry = findOrAddTeam(team);
    entry.quota = quota;
    entry.hasQuota = true;
}

void TeamQuotas::removeQuota(std::string_view team)
{
    findOrAddTeam(team).hasQuota = false;
}

bool TeamQuotas::allows(std::string_view team, const Resources& size) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || !found->second.hasQuota)
        return true;
    return size.fitsIn(found->second.quota - found->second.usage);
}

bool TeamQuotas::exceedsQuota(std::string_view team, const Resources& size) const
{
    const auto found = teams_.find(team);
    return found != teams_.end() && found->second.hasQuota && !size.fitsIn(found->second.quota);
}

void TeamQuotas::charge(std::string_view team, const Resources& size)
{
    findOrAddTeam(team).usage += size;
}

void TeamQuotas::release(std::string_view team, const Resources& size)
{
    findOrAddTeam(team).usage -= size;
}

Resources TeamQuotas::usage(std::string_view team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? Resources {} : found->second.usage;
}

} // namespace Placement
