#pragma once

#include "utils/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Requests {

/*!
    Tells which VMs count as gone: missing from the platform's list for some time, and silent as long.

    The list lags, so a VM that is merely not listed yet must not count as gone.
*/
class VmRemovalDetector {
public:
    /*! \param goneAfter how long a VM must be missing and silent. */
    explicit VmRemovalDetector(Utils::Duration removalDelay)
        : removalDelay_(removalDelay)
    {
    }

    /*!
        The list was read.
        \param names the VMs on it.
    */
    void onVmList(const std::set<std::string>& names);

    /*! A VM told something. \param name its name. \param now the current time. */
    void onContact(const std::string& name, Utils::TimePoint now);

    /*!
        \param candidates the VMs asked about.
        \param now the current time.
        \return those that count as gone.
    */
    std::vector<std::string> removedVms(const std::vector<std::string>& candidates, Utils::TimePoint now);

private:
    Utils::Duration removalDelay_;
    bool hasList_ = false;
    std::set<std::string> listedVms_;
    std::map<std::string, Utils::TimePoint> missingSince_;
};

} // namespace Requests
