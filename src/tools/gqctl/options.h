#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/*! Exit codes of gqctl. */
enum ExitCode : int {
    ExitSuccess = 0,
    ExitUnavailable = 1, //!< The daemon or the platform could not be reached; nothing was changed.
    ExitUsage = 2,
    ExitInvalid = 3, //!< The input was rejected; all faults are printed.
    ExitConflict = 4, //!< Another change was accepted first.
    ExitOutcomeUnknown
    = 5, //!< The change may have taken effect; repeating the command with the same id is safe.
    ExitUnauthorized = 6,
    ExitNotFound = 7,
};

struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
};

/*! Parsed command line. */
struct Options {
    Endpoint console;
    Endpoint entry;
    std::string tokenFile;
    std::string author;
    std::string writeId;
    std::optional<std::uint64_t> base;
    std::uint32_t limit = 20;
    std::string format;
    std::string reason;
    std::uint32_t timeoutMs = 10000;
    bool json = false;
    std::vector<std::string> positionalArguments; //!< The command and its arguments.
};

/*!
    Parses the command line and prints the help, the version or an error message if needed.
    \param exitCode receives the exit code to use if nothing is returned.
    \return the options, or nothing if the process must exit.
*/
std::optional<Options> parseOptions(int argc, char** argv, int& exitCode);

} // namespace Control
