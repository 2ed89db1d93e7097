#pragma once

#include <platform.pb.h>
#include <policy.pb.h>

namespace Configuration {

/*!
    Marks the VMs that operators drain as leaving, as if the platform listed them so.
    \param policy the configuration in force.
    \param list the platform's list; entries named in [drain VM] are changed.
*/
void markDrained(const Schema::PolicyDocument& policy, Schema::VmListReply& list);

} // namespace Configuration
