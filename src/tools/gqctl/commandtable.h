#pragma once

#include "options.h"

namespace Control {

/*!
    Finds the command that the words name and runs it.
    \param options the command line.
    \return the exit code of the process.
*/
int runCommand(const Options& options);

} // namespace Control
