#pragma once

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace StandIns {

/*!
    The faults switched on in a stand-in, by name, each with a number: how many times, or milliseconds.

    Switched through "POST /fault?name=NAME&value=NUMBER". Safe for use from several threads.
*/
class Faults {
public:
    /*!
        \param name name of the fault.
        \param value its number; 0 switches it off.
    */
    void set(std::string_view name, long value);

    /*! \param name name of the fault. \return its number, 0 if it is off. */
    long value(std::string_view name) const;

    /*! Counts a fault down by one. \param name name of the fault. \return true if it was on. */
    bool consume(std::string_view name);

private:
    mutable std::mutex mutex_;
    std::map<std::string, long, std::less<>> values_;
};

} // namespace StandIns
