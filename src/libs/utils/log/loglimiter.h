#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Utils {

/*! Bounds how many lines of each event are written in a second. Not safe for threads. */
class LogLimiter {
public:
    /*! \param perSecond greatest number of lines of an event in a second. */
    explicit LogLimiter(std::uint32_t maxLinesPerSecond)
        : maxLinesPerSecond_(maxLinesPerSecond)
    {
    }

    /*!
        Counts a line.
        \param event its event.
        \param second present time in whole seconds.
        \param leftOut receives how many lines of the event were left out in its last second, once that is
       over. \return whether the line is to be written.
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
