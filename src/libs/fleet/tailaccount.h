#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Fleet {

/*! Why a latency-critical task was over its target. */
enum class OverTargetCause {
    OwnLoad, //!< Its users' load alone.
    Colocated, //!< What the tasks beside it were expected to add: they were not throttled in time.
    Unexpected, //!< More than was expected of the tasks beside it.
};

inline constexpr std::size_t overTargetCauseCount = 3;
inline constexpr std::array<std::string_view, overTargetCauseCount> overTargetCauseNames { "own-load",
    "colocated", "unexpected" };

/*! Counts the reported tail latencies of latency-critical tasks, each the mean of half a second. */
struct TailAccount {
    std::uint64_t measurements = 0;
    std::array<std::uint64_t, overTargetCauseCount> overTarget {}; //!< By cause.
};

} // namespace Fleet
