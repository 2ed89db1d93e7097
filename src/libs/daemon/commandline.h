#pragma once

#include <optional>
#include <string>

namespace Daemon {

/*! Exit codes of all daemons. */
enum ExitCode : int {
    ExitSuccess = 0,
    ExitFailure = 1, //!< A fault while running, for example a port in use.
    ExitUsage = 2, //!< A wrong command line or wrong settings.
};

/*! What the command line asks for. */
struct CommandLine {
    std::string configFile; //!< --config
    bool checkOnly = false; //!< --check: check the settings and exit.
};

/*!
    Parses a daemon's command line; prints help, version or what is wrong.
    \param argc,argv as given to main().
    \param program name of the daemon for messages.
    \param exitCode set if nothing is returned: the process must exit with it.
    \return the options, or nothing.
*/
std::optional<CommandLine> parseCommandLine(int argc, char** argv, const char* program, int& exitCode);

} // namespace Daemon
