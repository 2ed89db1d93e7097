#pragma once

#include <platform.pb.h>
#include <policy.pb.h>

namespace Configuration {

/*!
    Marks VMs that an operator drains as leaving, as if the platform had listed them as leaving.
    \param policy names the VMs in its [drain VM] sections.
    \param list the VM list of the platform, which is modified.
*/
void markDrained(const Schema::PolicyDocument& policy, Schema::VmListReply& list);

} // namespace Configuration
