#pragma once

#include "utils/result.h"

#include <platform.pb.h>

namespace Platform {

/*! The platform's list of VMs; it lags behind the truth. Calls block up to the adapter's time limit. */
class VmList {
public:
    virtual ~VmList() = default;

    /*! \return the list as the platform knows it. */
    virtual Utils::Result<Schema::VmListReply> list() = 0;
};

} // namespace Platform
