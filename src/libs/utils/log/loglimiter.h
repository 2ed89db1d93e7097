#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Utils {

/*! Limits the number of log lines per event and second. Not thread-safe. */
class LogLimiter {
public:
    /*! \param maxLinesPerSecond maximum number of lines per event and second. */
    explicit LogLimiter(std::uint32_t maxLinesPerSecond)
        : maxLinesPerSecond_(maxLinesPerSecond)
    {
    }

    /*!
        Counts a line and returns whether it may be written.
        \param second the current time in whole seconds.
        \param suppressedLines receives, for the first line of the event in a second, the number of its lines
        that were suppressed in the last second in which it occurred; otherwise 0.
    */
    bool admit(std::string_view event, std::int64_t second, std::uint64_t& suppressedLines);

private:
    struct EventCount {
        std::int64_t second = 0;
        std::uint32_t writtenLines = 0;
        std::uint64_t suppressedLines = 0;
    };

    std::uint32_t maxLinesPerSecond_;
    std::map<std::string, EventCount, std::less<>> eventCounts_;
};

} // namespace Utils
