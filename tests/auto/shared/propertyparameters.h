#pragma once

namespace Testing {

/*!
    Fixes seed and size of all RapidCheck properties of a test program.

    Call it from the initializer of a namespace-scope constant, before the first property runs.
    \param parameters a list such as "seed=7 max_success=200 max_size=50".
    \return true, so that the call can initialize a constant.
*/
bool setPropertyParameters(const char* parameters);

} // namespace Testing
