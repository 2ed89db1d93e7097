#pragma once

namespace Testing {

/*!
    Sets the parameters, such as the seed, of all RapidCheck properties in a test program.

    Call it from the initializer of a namespace-scope constant, before the first property is checked.
    \param parameters a list such as "seed=7 max_success=200 max_size=50".
    \return true on success.
*/
bool setPropertyParameters(const char* parameters);

} // namespace Testing
