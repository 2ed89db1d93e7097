#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Ports {

/*! Identifies a task across all shards. */
struct TaskKey {
    std::string job;
    std::uint32_t occurrence = 0; //!< Run of a periodic job; 0 for a job that runs once.
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const TaskKey&, const TaskKey&) = default;
    friend bool operator<(const TaskKey& left, const TaskKey& right)
    {
        return std::tie(left.job, left.occurrence, left.step, left.index)
            < std::tie(right.job, right.occurrence, right.step, right.index);
    }
};

} // namespace Ports
