#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Control {

/*! Exit codes of gqctl. */
enum ExitCode : int {
    ExitSuccess = 0,
    ExitUnavailable = 1, //!< The daemon or the platform could not be reached; nothing was done.
    ExitUsage = 2,
    ExitInvalid = 3, //!< The input was refused; every fault is printed.
    ExitConflict = 4, //!< Another change was accepted first.
    ExitOutcomeUnknown = 5, //!< It may have been done; the same command with the same id is safe.
    ExitUnauthorized = 6,
    ExitNotFound = 7,
};

/*! An address and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
};

/*! What the command line says. */
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
    std::vector<std::string> positionalArguments; //!< Command and its arguments.
};

/*!
    Parses the command line; prints help, version or what is wrong.
    \param argc,argv as given to main().
    \param exitCode set if nothing is returned: the process must exit with it.
    \return the options, or nothing.
*/
std::optional<Options> parseOptions(int argc, char** argv, int& exitCode);

} // namespace Control
