#include "options.h"

#include <getopt.h>

#include <charconv>
#include <iostream>
#include <string_view>

namespace Control {

namespace {

constexpr char version[] = "0.1.0";

constexpr char usage[] = R"(Usage: gqctl [OPTIONS] COMMAND [ARGUMENTS]
Commands, through an entry daemon (--entry):
  submit FILE           submit a job, JSON from FILE or - for standard input
  status JOB            state of a job
  cancel JOB            cancel a job
Commands, through a console (--console, --token-file):
  config get            the newest accepted configuration
  config validate FILE  check a document here, without a console
  config put FILE       have a document accepted; needs --base
  config history        accepted revisions, newest first
  drain VM              give a VM no new work
  undrain VM            give it work again
  members               members and the revision each has in force
  burn-report           service-level burn
Options:
  --console ADDRESS:PORT  console daemon
  --entry ADDRESS:PORT    entry daemon
  --token-file FILE       file with the operator's token
  --author NAME           name kept with an accepted change
  --base REVISION         revision the change started from; 0 for the first document
  --write-id ID           id of the change; the same id again finds the first outcome
  --limit NUMBER          greatest number of revisions listed
  --format text|json|svg  format of burn-report
  --reason TEXT           why a VM is drained
  --timeout-ms NUMBER     time limit of one call
  --json                  print JSON
  --help, --version
Exit codes: 0 done, 1 unavailable, 2 usage, 3 invalid input, 4 lost to another change, 5 outcome unknown,
            6 not authorized, 7 not found
)";

template <typename Number> bool parseNumber(std::string_view text, Number& number)
{
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    return code == std::errc {} && end == text.data() + text.size();
}

bool parseEndpoint(std::string_view text, Endpoint& endpoint)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    endpoint.address = text.substr(0, colon);
    return parseNumber(text.substr(colon + 1), endpoint.port);
}

enum Flag : int {
    ConsoleFlag = 1000,
    EntryFlag,
    TokenFileFlag,
    AuthorFlag,
    BaseFlag,
    WriteIdFlag,
    LimitFlag,
    FormatFlag,
    ReasonFlag,
    TimeoutFlag,
    JsonFlag,
    HelpFlag,
    VersionFlag,
};

bool applyFlag(int flag, const char* argument, Options& options)
{
    switch (flag) {
    case ConsoleFlag:
        return parseEndpoint(argument, options.console);
    case EntryFlag:
        return parseEndpoint(argument, options.entry);
    case TokenFileFlag:
        options.tokenFile = argument;
        return true;
    case AuthorFlag:
        options.author = argument;
        return true;
    case BaseFlag:
        return parseNumber(argument, options.base.emplace());
    case WriteIdFlag:
        options.writeId = argument;
        return true;
    case LimitFlag:
        return parseNumber(argument, options.limit);
    case FormatFlag:
        options.format = argument;
        return options.format == "text" || options.format == "json" || options.format == "svg";
    case ReasonFlag:
        options.reason = argument;
        return true;
    case TimeoutFlag:
        return parseNumber(argument, options.timeoutMs);
    case JsonFlag:
        options.json = true;
        return true;
    default:
        return false;
    }
}

} // namespace

std::optional<Options> parseOptions(int argc, char** argv, int& exitCode)
{
    static const option flags[] = { { "console", required_argument, nullptr, ConsoleFlag },
        { "entry", required_argument, nullptr, EntryFlag },
        { "token-file", required_argument, nullptr, TokenFileFlag },
        { "author", required_argument, nullptr, AuthorFlag },
        { "base", required_argument, nullptr, BaseFlag },
        { "write-id", required_argument, nullptr, WriteIdFlag },
        { "limit", required_argument, nullptr, LimitFlag },
        { "format", required_argument, nullptr, FormatFlag },
        { "reason", required_argument, nullptr, ReasonFlag },
        { "timeout-ms", required_argument, nullptr, TimeoutFlag }, { "json", no_argument, nullptr, JsonFlag },
        { "help", no_argument, nullptr, HelpFlag }, { "version", no_argument, nullptr, VersionFlag },
        { nullptr, 0, nullptr, 0 } };
    Options options;
    exitCode = ExitSuccess;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1;) {
        if (flag == HelpFlag) {
            std::cout << usage;
            return std::nullopt;
        }
        if (flag == VersionFlag) {
            std::cout << "gqctl " << version << "\n";
            return std::nullopt;
        }
        if (!applyFlag(flag, optarg, options)) {
            if (flag != '?')
                std::cerr << "gqctl: '" << optarg << "' is not allowed here\n";
            exitCode = ExitUsage;
            return std::nullopt;
        }
    }
    options.positionalArguments.assign(argv + optind, argv + argc);
    if (!options.positionalArguments.empty())
        return options;
    std::cerr << usage;
    exitCode = ExitUsage;
    return std::nullopt;
}

} // namespace Control
