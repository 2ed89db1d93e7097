#include "propertyparameters.h"

#include <cstdlib>

namespace Testing {

bool setPropertyParameters(const char* parameters)
{
    return ::setenv("RC_PARAMS", parameters, 1) == 0;
}

} // namespace Testing
