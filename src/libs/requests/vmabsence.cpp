#include "vmabsence.h"

namespace Requests {

void VmAbsence::listed(const std::set<std::string>& names)
{
    hasList_ = true;
    names_ = names;
    for (const std::string& name : names)
        missingSince_.erase(name);
}

void VmAbsence::heard(const std::string& name, Utils::TimePoint now)
{
    const auto found = missingSince_.find(name);
    if (found != missingSince_.end())
        found->second = now;
}

std::vector<std::string> VmAbsence::gone(const std::vector<std::string>& candidates, Utils::TimePoint now)
{
    std::vector<std::string> result;
    if (!hasList_)
        return result;
    for (const std::string& name : candidates) {
        if (names_.count(name) != 0)
            continue;
        const auto since = missingSince_.try_emplace(name, now).first->second;
        if (now - since >= goneAfter_)
            result.push_back(name);
    }
    return result;
}

} // namespace Requests
