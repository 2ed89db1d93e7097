#include "resources.h"

namespace Placement {

bool Resources::fitsIn(const Resources& available) const
{
    return milliProcessors <= available.milliProcessors && memoryMb <= available.memoryMb
        && accelerators <= available.accelerators;
}

bool Resources::isValid() const
{
    return milliProcessors >= 0 && memoryMb >= 0 && accelerators >= 0;
}

Resources& Resources::operator+=(const Resources& other)
{
    milliProcessors += other.milliProcessors;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    milliProcessors -= other.milliProcessors;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

} // namespace Placement
