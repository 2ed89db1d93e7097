#include "commandline.h"

#include <getopt.h>

#include <iostream>

namespace Daemon {

namespace {

constexpr char version[] = "0.1.0";

void printUsage(std::ostream& stream, const char* program)
{
    stream << "Usage: " << program << " --config FILE [--check]\n"
           << "  --config FILE  settings in INI\n"
           << "  --check        check the settings and exit\n"
           << "  --help         print this text\n"
           << "  --version      print the version\n";
}

} // namespace

std::optional<CommandLine> parseCommandLine(int argc, char** argv, const char* program, int& exitCode)
{
    static const option options[] = { { "config", required_argument, nullptr, 'c' },
        { "check", no_argument, nullptr, 'k' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'v' }, { nullptr, 0, nullptr, 0 } };
    CommandLine commandLine;
    exitCode = ExitSuccess;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (flag) {
        case 'c':
            commandLine.configFile = optarg;
            break;
        case 'k':
            commandLine.checkOnly = true;
            break;
        case 'h':
            printUsage(std::cout, program);
            return std::nullopt;
        case 'v':
            std::cout << program << " " << version << "\n";
            return std::nullopt;
        default:
            printUsage(std::cerr, program);
            exitCode = ExitUsage;
            return std::nullopt;
        }
    }
    if (!commandLine.configFile.empty() && optind == argc)
        return commandLine;
    printUsage(std::cerr, program);
    exitCode = ExitUsage;
    return std::nullopt;
}

} // namespace Daemon
