#pragma once

#include <string>

namespace Utils {

/*!
    Makes an identifier that no other process makes.
    \return 32 lower-case hexadecimal digits from the system's random source.
*/
std::string makeUniqueId();

} // namespace Utils
