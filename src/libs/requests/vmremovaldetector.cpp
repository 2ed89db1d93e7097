#include "vmremovaldetector.h"

namespace Requests {

void VmRemovalDetector::onVmList(const std::set<std::string>& names)
{
    hasList_ = true;
    listedVms_ = names;
    for (const std::string& name : names)
        missingSince_.erase(name);
}

void VmRemovalDetector::onContact(const std::string& name, Utils::TimePoint now)
{
    const auto found = missingSince_.find(name);
    if (found != missingSince_.end())
        found->second = now;
}

std::vector<std::string> VmRemovalDetector::removedVms(
    const std::vector<std::string>& candidates, Utils::TimePoint now)
{
    std::vector<std::string> result;
    if (!hasList_)
        return result;
    for (const std::string& name : candidates) {
        if (listedVms_.count(name) != 0)
            continue;
        const auto since = missingSince_.try_emplace(name, now).first->second;
        if (now - since >= removalDelay_)
            result.push_back(name);
    }
    return result;
}

} // namespace Requests
