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
    explicit LogLimiter(std::uint32_t perSecond)
        : perSecond_(perSecond)
    {
    }

    /*!
        Counts a line.
        \param event its event.
        \param second present time in whole seconds.
        \param leftOut receives how many lines of the event were left out in its last second, once that is
       over. \return whether the line is to be written.
    */
    bool admit(std::string_view event, std::int64_t second, std::uint64_t& leftOut);

private:
    struct Count {
        std::int64_t second = 0;
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    std::uint32_t perSecond_;
    std::map<std::string, Count, std::less<>> counts_;
};

} // namespace Utils
