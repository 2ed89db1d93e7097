#pragma once

#include "utils/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Requests {

/*!
    Detects VMs that were removed: they are missing from the platform's VM list and unresponsive for some
    time.

    The list lags behind, so a VM that is merely not listed yet must not be considered removed.
*/
class VmRemovalDetector {
public:
    /*! \param removalDelay how long a VM must be missing and unresponsive. */
    explicit VmRemovalDetector(Utils::Duration removalDelay)
        : removalDelay_(removalDelay)
    {
    }

    /*! Replaces the known VM list of the platform. */
    void onVmList(const std::set<std::string>& names);

    /*! Restarts the removal delay of a missing VM that responded. */
    void onContact(const std::string& name, Utils::TimePoint now);

    /*! \return those of \p candidates that are considered removed. */
    std::vector<std::string> removedVms(const std::vector<std::string>& candidates, Utils::TimePoint now);

private:
    Utils::Duration removalDelay_;
    bool hasList_ = false;
    std::set<std::string> listedVms_;
    //! When a VM was first found missing from the list, or its last contact since then.
    std::map<std::string, Utils::TimePoint> missingSince_;
};

} // namespace Requests
