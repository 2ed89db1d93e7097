#include "drains.h"

#include <set>
#include <string_view>

namespace Configuration {

void markDrained(const Schema::PolicyDocument& policy, Schema::VmListReply& list)
{
    std::set<std::string_view> drained;
    for (const Schema::DrainPolicy& drain : policy.drain())
        drained.insert(drain.name());
    for (Schema::VmEntry& vm : *list.mutable_vms()) {
        if (drained.contains(vm.name()))
            vm.set_leaving(true);
    }
}

} // namespace Configuration
