#include "commands.h"

#include "configuration/policy.h"
#include "http/blockingclient.h"
#include "http/headers.h"
#include "http/target.h"
#include "output.h"
#include "settings/inidocument.h"

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace Control {

namespace {

constexpr char configurationTarget[] = "/v1/configuration";
constexpr int maxDrainAttempts = 10;
constexpr std::string_view drainKind = "drain";

using ResponseResult = Utils::Result<Http::Response>;

std::optional<std::string> readInput(const std::string& path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << "gqctl: " << path << ": cannot be read\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

ResponseResult send(
    const Endpoint& endpoint, const char* option, const Options& options, const Http::Request& request)
{
    if (endpoint.port == 0)
        return Utils::Error { Utils::ErrorCode::InvalidArgument, "options", {},
            std::string(option) + " is needed" };
    Http::BlockingClient client(
        { endpoint.address, endpoint.port, std::chrono::milliseconds(options.timeoutMs) });
    return client.send(request);
}

ResponseResult sendToEntry(const Options& options, const Http::Request& request)
{
    return send(options.entry, "--entry", options, request);
}

ResponseResult sendToConsole(const Options& options, Http::Request request)
{
    std::ifstream stream(options.tokenFile);
    std::string token;
    if (!(stream >> token))
        return Utils::Error { Utils::ErrorCode::InvalidArgument, "options", {},
            "--token-file names no token" };
    request.headers.push_back({ "Authorization", "Bearer " + token });
    return send(options.console, "--console", options, request);
}

bool isSuccess(const ResponseResult& result)
{
    return Utils::isOk(result) && exitCodeForStatus(Utils::value(result).status) == ExitSuccess;
}

int printUnsuccessful(const ResponseResult& result, bool json)
{
    if (Utils::isOk(result))
        return printFailure(Utils::value(result), json);
    const bool isUsageError = Utils::error(result).code == Utils::ErrorCode::InvalidArgument;
    const int exitCode = printError(Utils::error(result));
    return isUsageError ? ExitUsage : exitCode;
}

int printObjectResult(const ResponseResult& result, bool json)
{
    if (!isSuccess(result))
        return printUnsuccessful(result, json);
    if (json)
        std::cout << Utils::value(result).body << "\n";
    else
        printObject(Utils::value(result).body);
    return ExitSuccess;
}

int printTableResult(
    const ResponseResult& result, bool json, const char* arrayName, std::span<const char* const> columns)
{
    if (!isSuccess(result))
        return printUnsuccessful(result, json);
    if (json)
        std::cout << Utils::value(result).body << "\n";
    else
        printTable(Utils::value(result).body, arrayName, columns);
    return ExitSuccess;
}

std::string jobTarget(const Options& options)
{
    return "/v1/jobs/" + Http::encodeQuery(options.positionalArguments[1]);
}

Http::Request putRequest(const Options& options, const std::string& text, const std::string& tag)
{
    Http::Request request { "PUT", configurationTarget, { { "If-Match", tag } }, text, {} };
    if (!options.author.empty())
        request.headers.push_back({ "Geraniumquay-Operator", options.author });
    if (!options.writeId.empty())
        request.headers.push_back({ "Idempotency-Key", options.writeId });
    return request;
}

// Returns the INI text without the drain section of \a vm.
std::string removeDrainSection(const std::string& text, const std::string& vm)
{
    std::istringstream lines(text);
    std::string result;
    bool isInSection = false;
    for (std::string line; std::getline(lines, line);) {
        const auto parsed = Settings::parseIni(line, {});
        const auto* document = std::get_if<Settings::IniDocument>(&parsed);
        if (document && !document->sections.empty())
            isInSection = document->sections[0].kind == drainKind && document->sections[0].name == vm;
        if (!isInSection)
            result += line + "\n";
    }
    return result;
}

// Replaces the drain section of the VM by \a section, which is empty to remove it. Reads the configuration
// again and retries if another change was accepted in between.
int updateDrain(const Options& options, const std::string& section)
{
    ResponseResult result;
    for (int attempt = 0; attempt < maxDrainAttempts; ++attempt) {
        const ResponseResult current = sendToConsole(options, { "GET", configurationTarget, {}, {}, {} });
        if (!isSuccess(current))
            return printUnsuccessful(current, options.json);
        const std::string text
            = removeDrainSection(Utils::value(current).body, options.positionalArguments[1]) + section;
        if (text == Utils::value(current).body)
            return ExitSuccess;
        const auto tag = Http::findHeader(Utils::value(current).headers, "ETag").value_or("");
        result = sendToConsole(options, putRequest(options, text, std::string(tag)));
        if (!Utils::isOk(result) || exitCodeForStatus(Utils::value(result).status) != ExitConflict)
            break;
    }
    return printObjectResult(result, options.json);
}

} // namespace

int submitJob(const Options& options)
{
    const auto body = readInput(options.positionalArguments[1]);
    if (!body)
        return ExitUsage;
    return printObjectResult(
        sendToEntry(options, { "POST", "/v1/jobs", { { "Content-Type", "application/json" } }, *body, {} }),
        options.json);
}

int jobStatus(const Options& options)
{
    return printObjectResult(sendToEntry(options, { "GET", jobTarget(options), {}, {}, {} }), options.json);
}

int cancelJob(const Options& options)
{
    return printObjectResult(
        sendToEntry(options, { "DELETE", jobTarget(options), {}, {}, {} }), options.json);
}

int getConfiguration(const Options& options)
{
    const ResponseResult result = sendToConsole(options, { "GET", configurationTarget, {}, {}, {} });
    if (!isSuccess(result))
        return printUnsuccessful(result, options.json);
    const Http::Response& response = Utils::value(result);
    const std::string tag(Http::findHeader(response.headers, "ETag").value_or(""));
    const std::string revision = tag.substr(1, tag.find('-') - 1);
    if (options.json)
        printJsonText(revision, response.body);
    else
        std::cout << response.body;
    if (!options.json)
        std::cerr << "revision " << revision << "\n";
    return ExitSuccess;
}

int validateConfiguration(const Options& options)
{
    const auto text = readInput(options.positionalArguments[2]);
    if (!text)
        return ExitUsage;
    const auto parsed = Configuration::parsePolicy(*text);
    const auto* faults = std::get_if<std::vector<Settings::Fault>>(&parsed);
    const std::vector<Settings::Fault> noFaults;
    printFaults(faults ? *faults : noFaults, options.json);
    return faults ? ExitInvalid : ExitSuccess;
}

int putConfiguration(const Options& options)
{
    const auto text = readInput(options.positionalArguments[2]);
    if (!text)
        return ExitUsage;
    if (!options.base) {
        std::cerr << "gqctl: --base is needed: the revision that config get named\n";
        return ExitUsage;
    }
    const std::string tag = "\"" + std::to_string(*options.base) + "\"";
    return printObjectResult(sendToConsole(options, putRequest(options, *text, tag)), options.json);
}

int listConfigurationHistory(const Options& options)
{
    static constexpr std::array<const char*, 3> columns { "revision", "accepted_unix_ms", "author" };
    const std::string target = "/v1/configuration/history?limit=" + std::to_string(options.limit);
    return printTableResult(
        sendToConsole(options, { "GET", target, {}, {}, {} }), options.json, "history", columns);
}

int drainVm(const Options& options)
{
    return updateDrain(
        options, "[drain " + options.positionalArguments[1] + "]\nreason = " + options.reason + "\n");
}

int undrainVm(const Options& options)
{
    return updateDrain(options, {});
}

int listMembers(const Options& options)
{
    static constexpr std::array<const char*, 6> columns { "name", "role", "region", "domain", "state",
        "revision" };
    return printTableResult(
        sendToConsole(options, { "GET", "/v1/members", {}, {}, {} }), options.json, "members", columns);
}

int burnReport(const Options& options)
{
    const std::string format = options.json ? "json" : options.format.empty() ? "text" : options.format;
    const ResponseResult result = sendToConsole(options, { "GET", "/v1/burn?format=" + format, {}, {}, {} });
    if (!isSuccess(result))
        return printUnsuccessful(result, options.json);
    std::cout << Utils::value(result).body << "\n";
    return ExitSuccess;
}

} // namespace Control
