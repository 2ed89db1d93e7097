#include "commandtable.h"

#include "commands.h"

#include <array>
#include <iostream>
#include <string_view>

namespace Control {

namespace {

struct Command {
    std::string_view firstWord;
    std::string_view secondWord; //!< Empty if the command consists of one word.
    std::size_t argumentCount = 0;
    int (*function)(const Options&) = nullptr;
};

constexpr std::array<Command, 11> commands { {
    { "submit", {}, 1, submitJob },
    { "status", {}, 1, jobStatus },
    { "cancel", {}, 1, cancelJob },
    { "config", "get", 0, getConfiguration },
    { "config", "validate", 1, validateConfiguration },
    { "config", "put", 1, putConfiguration },
    { "config", "history", 0, listConfigurationHistory },
    { "drain", {}, 1, drainVm },
    { "undrain", {}, 1, undrainVm },
    { "members", {}, 0, listMembers },
    { "burn-report", {}, 0, burnReport },
} };

bool matches(const Command& command, const Options& options)
{
    const std::size_t wordCount = command.secondWord.empty() ? 1 : 2;
    if (options.positionalArguments.size() != wordCount + command.argumentCount
        || options.positionalArguments[0] != command.firstWord)
        return false;
    return command.secondWord.empty() || options.positionalArguments[1] == command.secondWord;
}

} // namespace

int runCommand(const Options& options)
{
    for (const Command& command : commands) {
        if (matches(command, options))
            return command.function(options);
    }
    std::cerr << "gqctl: no such command, or a wrong number of arguments; see --help\n";
    return ExitUsage;
}

} // namespace Control
