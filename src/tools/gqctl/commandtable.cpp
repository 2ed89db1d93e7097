#include "commandtable.h"

#include "commands.h"

#include <array>
#include <iostream>
#include <string_view>

namespace Control {

namespace {

struct Command {
    std::string_view first;
    std::string_view second; //!< Empty if the command is one word.
    std::size_t argumentCount = 0;
    int (*function)(const Options&) = nullptr;
};

constexpr std::array<Command, 11> commands { {
    { "submit", {}, 1, submitJob },
    { "status", {}, 1, jobStatus },
    { "cancel", {}, 1, cancelJob },
    { "config", "get", 0, configurationGet },
    { "config", "validate", 1, configurationValidate },
    { "config", "put", 1, configurationPut },
    { "config", "history", 0, configurationHistory },
    { "drain", {}, 1, drainVm },
    { "undrain", {}, 1, undrainVm },
    { "members", {}, 0, listMembers },
    { "burn-report", {}, 0, burnReport },
} };

bool isNamed(const Command& command, const Options& options)
{
    const std::size_t words = command.second.empty() ? 1 : 2;
    if (options.words.size() != words + command.argumentCount || options.words[0] != command.first)
        return false;
    return command.second.empty() || options.words[1] == command.second;
}

} // namespace

int runCommand(const Options& options)
{
    for (const Command& command : commands) {
        if (isNamed(command, options))
            return command.function(options);
    }
    std::cerr << "gqctl: no such command, or a wrong number of arguments; see --help\n";
    return ExitUsage;
}

} // namespace Control
