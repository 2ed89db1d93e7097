#pragma once

#include "options.h"

namespace Control {

/*! Runs the command given by the positional arguments and returns the exit code of the process. */
int runCommand(const Options& options);

} // namespace Control
