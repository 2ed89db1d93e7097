#include "loglimiter.h"

namespace Utils {

bool LogLimiter::admit(std::string_view event, std::int64_t second, std::uint64_t& suppressedLines)
{
    auto found = eventCounts_.find(event);
    if (found == eventCounts_.end())
        found = eventCounts_.emplace(std::string(event), EventCount {}).first;
    EventCount& count = found->second;
    suppressedLines = 0;
    if (count.second != second) {
        suppressedLines = count.suppressedLines;
        count = { second, 0, 0 };
    }
    if (count.writtenLines < maxLinesPerSecond_) {
        ++count.writtenLines;
        return true;
    }
    ++count.suppressedLines;
    return false;
}

} // namespace Utils
