#pragma once

#include <optional>
#include <string>

namespace Daemon {

/*! Exit codes of all daemons. */
enum ExitCode : int {
    ExitSuccess = 0,
    ExitFailure = 1, //!< A runtime error, for example a port that is already in use.
    ExitUsage = 2, //!< An invalid command line or invalid settings.
};

struct CommandLine {
    std::string configFile; //!< --config
    bool checkOnly = false; //!< --check: validate the settings and exit.
};

/*!
    Parses the command line of a daemon and prints the help, the version or an error message if needed.
    \param program name of the daemon for messages.
    \param exitCode receives the exit code to use if nothing is returned.
    \return the options, or nothing if the process must exit.
*/
std::optional<CommandLine> parseCommandLine(int argc, char** argv, const char* program, int& exitCode);

} // namespace Daemon
