#pragma once

#include <string>

namespace Utils {

/*! Returns a globally unique identifier: 32 lower-case hexadecimal digits from the system's random source. */
std::string makeUniqueId();

} // namespace Utils
