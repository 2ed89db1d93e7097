#include "loadclient.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int exitUsage = 2;

constexpr char usage[]
    = "Usage: gqload --port PORT [--address IP] [--method GET] [--target /path] [--class NAME]\n"
      "              [--deadline-ms 5000] [--body-bytes 0] [--connections 16] [--per-second 0] [--seconds "
      "5]\n"
      "Makes load over kept connections and prints one JSON line. With --per-second 0 each connection sends\n"
      "its next request as soon as it is answered.\n";

std::uint32_t parseNumber(const char* text)
{
    return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

bool parseOptions(int argc, char** argv, Load::LoadOptions& options)
{
    static const option knownOptions[] = { { "address", required_argument, nullptr, 'a' },
        { "port", required_argument, nullptr, 'p' }, { "method", required_argument, nullptr, 'm' },
        { "target", required_argument, nullptr, 't' }, { "class", required_argument, nullptr, 'c' },
        { "deadline-ms", required_argument, nullptr, 'd' }, { "body-bytes", required_argument, nullptr, 'b' },
        { "connections", required_argument, nullptr, 'n' }, { "per-second", required_argument, nullptr, 'r' },
        { "seconds", required_argument, nullptr, 's' }, { nullptr, 0, nullptr, 0 } };
    for (int flag = 0; (flag = getopt_long(argc, argv, "", knownOptions, nullptr)) != -1;) {
        switch (flag) {
        case 'a':
            options.address = optarg;
            break;
        case 'p':
            options.port = static_cast<std::uint16_t>(parseNumber(optarg));
            break;
        case 'm':
            options.method = optarg;
            break;
        case 't':
            options.target = optarg;
            break;
        case 'c':
            options.priorityClass = optarg;
            break;
        case 'd':
            options.deadlineMs = optarg;
            break;
        case 'b':
            options.bodyBytes = parseNumber(optarg);
            break;
        case 'n':
            options.connections = parseNumber(optarg);
            break;
        case 'r':
            options.requestsPerSecond = parseNumber(optarg);
            break;
        case 's':
            options.duration = std::chrono::seconds(parseNumber(optarg));
            break;
        default:
            return false;
        }
    }
    return options.port != 0 && options.connections > 0;
}

} // namespace

int main(int argc, char** argv)
{
    Load::LoadOptions options;
    if (!parseOptions(argc, argv, options)) {
        std::cerr << usage;
        return exitUsage;
    }
    Load::LoadReport report = Load::runLoad(options);
    std::cout << report.toJson() << "\n";
    return EXIT_SUCCESS;
}
