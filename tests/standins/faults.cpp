#include "faults.h"

namespace StandIns {

void Faults::set(std::string_view name, long value)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    values_[std::string(name)] = value;
}

long Faults::value(std::string_view name) const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
}

bool Faults::consume(std::string_view name)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = values_.find(name);
    if (found == values_.end() || found->second <= 0)
        return false;
    --found->second;
    return true;
}

} // namespace StandIns
