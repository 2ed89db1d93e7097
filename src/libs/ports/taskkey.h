#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Ports {

/*! Identity of a task. */
struct TaskKey {
    std::string job;
    std::uint32_t occurrence = 0; //!< 0 for a job that runs once.
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

} // namespace Ports
