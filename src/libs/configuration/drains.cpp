#include "drains.h"

#include <set>
#include <string_view>

namespace Configuration {

void markDrained(const Schema::PolicyDocument& policy, Schema::VmListReply& list)
{
    std::set<std::string_view> drainedNames;
    for (const Schema::DrainPolicy& drain : policy.drain())
        drainedNames.insert(drain.name());
    for (Schema::VmEntry& vm : *list.mutable_vms()) {
        if (drainedNames.contains(vm.name()))
            vm.set_leaving(true);
    }
}

} // namespace Configuration
