#pragma once

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace StandIns {

/*!
    The faults injected into a stand-in, by name. The value of a fault is a number of occurrences, a duration
    in milliseconds or a flag.

    Set through "POST /fault?name=NAME&value=NUMBER". Thread-safe.
*/
class Faults {
public:
    /*! Sets a fault; the value 0 disables it. */
    void set(std::string_view name, long value);

    /*! Returns the value of a fault; 0 if it is disabled. */
    long value(std::string_view name) const;

    /*! Decrements the value of a fault; returns false if the fault is disabled. */
    bool consume(std::string_view name);

private:
    mutable std::mutex mutex_;
    std::map<std::string, long, std::less<>> values_;
};

} // namespace StandIns
