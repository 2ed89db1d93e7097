#pragma once

#include "utils/result.h"

#include <platform.pb.h>

namespace Platform {

/*!
    The platform's list of VMs, which may be outdated.

    Calls block until they finish or the adapter's timeout expires.
*/
class VmList {
public:
    virtual ~VmList() = default;

    /*! \return the VMs that the platform currently lists. */
    virtual Utils::Result<Schema::VmListReply> list() = 0;
};

} // namespace Platform
