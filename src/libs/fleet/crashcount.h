#pragma once

#include <cstdint>

namespace Fleet {

/*! The latest starts of a task in a row under which its workers crashed. */
struct CrashCount {
    std::uint32_t proved = 0; //!< The task counts as the cause; at maxCrashes it is given up.
    std::uint32_t unanswered = 0; //!< The start was not answered, and another task may be the cause.
};

} // namespace Fleet
