#include "loglimiter.h"

namespace Utils {

bool LogLimiter::admit(std::string_view event, std::int64_t second, std::uint64_t& leftOut)
{
    auto found = counts_.find(event);
    if (found == counts_.end())
        found = counts_.emplace(std::string(event), Count {}).first;
    Count& count = found->second;
    leftOut = 0;
    if (count.second != second) {
        leftOut = count.leftOut;
        count = { second, 0, 0 };
    }
    if (count.written < perSecond_) {
        ++count.written;
        return true;
    }
    ++count.leftOut;
    return false;
}

} // namespace Utils
