#include "identifiers.h"

#include <cstdint>
#include <random>

namespace Utils {

std::string makeUniqueId()
{
    constexpr int digitCount = 32;
    constexpr int digitsPerWord = 8;
    static const char digits[] = "0123456789abcdef";
    thread_local std::random_device device;
    std::string id;
    id.reserve(digitCount);
    while (id.size() < digitCount) {
        std::uint32_t word = device();
        for (int i = 0; i < digitsPerWord; ++i) {
            id += digits[word & 0xFU];
            word >>= 4U;
        }
    }
    return id;
}

} // namespace Utils
