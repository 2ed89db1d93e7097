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
constexpr int drainAttempts = 10;
constexpr std::string_view drainKind = "drain";

using Answer = Utils::Result<Http::Response>;

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

Answer send(
    const Endpoint& endpoint, const char* option, const Options& options, const Http::Request& request)
{
    if (endpoint.port == 0)
        return Utils::Error { Utils::ErrorCode::InvalidArgument, "options", {},
            std::string(option) + " is needed" };
    Http::BlockingClient client(
        { endpoint.address, endpoint.port, std::chrono::milliseconds(options.timeoutMs) });
    return client.send(request);
}

Answer sendToEntry(const Options& options, const Http::Request& request)
{
    return send(options.entry, "--entry", options, request);
}

Answer sendToConsole(const Options& options, Http::Request request)
{
    std::ifstream stream(options.tokenFile);
    std::string token;
    if (!(stream >> token))
        return Utils::Error { Utils::ErrorCode::InvalidArgument, "options", {},
            "--token-file names no token" };
    request.headers.push_back({ "Authorization", "Bearer " + token });
    return send(options.console, "--console", options, request);
}

bool isSuccess(const Answer& answer)
{
    return Utils::isOk(answer) && exitCodeOf(Utils::value(answer).status) == ExitSuccess;
}

int printUnsuccessful(const Answer& answer, bool json)
{
    if (Utils::isOk(answer))
        return printFailure(Utils::value(answer), json);
    const bool usage = Utils::error(answer).code == Utils::ErrorCode::InvalidArgument;
    const int exitCode = printError(Utils::error(answer));
    return usage ? ExitUsage : exitCode;
}

int printObjectAnswer(const Answer& answer, bool json)
{
    if (!isSuccess(answer))
        return printUnsuccessful(answer, json);
    if (json)
        std::cout << Utils::value(answer).body << "\n";
    else
        printObject(Utils::value(answer).body);
    return ExitSuccess;
}

int printTableAnswer(const Answer& answer, bool json, const char* array, std::span<const char* const> columns)
{
    if (!isSuccess(answer))
        return printUnsuccessful(answer, json);
    if (json)
        std::cout << Utils::value(answer).body << "\n";
    else
        printTable(Utils::value(answer).body, array, columns);
    return ExitSuccess;
}

std::string jobTarget(const Options& options)
{
    return "/v1/jobs/" + Http::encodeQuery(options.words[1]);
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

// The text without the section [drain VM].
std::string withoutDrain(const std::string& text, const std::string& vm)
{
    std::istringstream lines(text);
    std::string result;
    bool inSection = false;
    for (std::string line; std::getline(lines, line);) {
        const auto parsed = Settings::parseIni(line, {});
        const auto* document = std::get_if<Settings::IniDocument>(&parsed);
        if (document && !document->sections.empty())
            inSection = document->sections[0].kind == drainKind && document->sections[0].name == vm;
        if (!inSection)
            result += line + "\n";
    }
    return result;
}

// Reads, changes and puts the document until no other change comes between.
int changeDrain(const Options& options, const std::string& section)
{
    Answer answer;
    for (int attempt = 0; attempt < drainAttempts; ++attempt) {
        const Answer current = sendToConsole(options, { "GET", configurationTarget, {}, {}, {} });
        if (!isSuccess(current))
            return printUnsuccessful(current, options.json);
        const std::string text = withoutDrain(Utils::value(current).body, options.words[1]) + section;
        if (text == Utils::value(current).body)
            return ExitSuccess;
        const auto tag = Http::findHeader(Utils::value(current).headers, "ETag").value_or("");
        answer = sendToConsole(options, putRequest(options, text, std::string(tag)));
        if (!Utils::isOk(answer) || exitCodeOf(Utils::value(answer).status) != ExitConflict)
            break;
    }
    return printObjectAnswer(answer, options.json);
}

} // namespace

int submitJob(const Options& options)
{
    const auto body = readInput(options.words[1]);
    if (!body)
        return ExitUsage;
    return printObjectAnswer(
        sendToEntry(options, { "POST", "/v1/jobs", { { "Content-Type", "application/json" } }, *body, {} }),
        options.json);
}

int jobStatus(const Options& options)
{
    return printObjectAnswer(sendToEntry(options, { "GET", jobTarget(options), {}, {}, {} }), options.json);
}

int cancelJob(const Options& options)
{
    return printObjectAnswer(
        sendToEntry(options, { "DELETE", jobTarget(options), {}, {}, {} }), options.json);
}

int configurationGet(const Options& options)
{
    const Answer answer = sendToConsole(options, { "GET", configurationTarget, {}, {}, {} });
    if (!isSuccess(answer))
        return printUnsuccessful(answer, options.json);
    const Http::Response& response = Utils::value(answer);
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

int configurationValidate(const Options& options)
{
    const auto text = readInput(options.words[2]);
    if (!text)
        return ExitUsage;
    const auto parsed = Configuration::parsePolicy(*text);
    const auto* faults = std::get_if<std::vector<Settings::Fault>>(&parsed);
    const std::vector<Settings::Fault> none;
    printFaults(faults ? *faults : none, options.json);
    return faults ? ExitInvalid : ExitSuccess;
}

int configurationPut(const Options& options)
{
    const auto text = readInput(options.words[2]);
    if (!text)
        return ExitUsage;
    if (!options.base) {
        std::cerr << "gqctl: --base is needed: the revision that config get named\n";
        return ExitUsage;
    }
    const std::string tag = "\"" + std::to_string(*options.base) + "\"";
    return printObjectAnswer(sendToConsole(options, putRequest(options, *text, tag)), options.json);
}

int configurationHistory(const Options& options)
{
    static constexpr std::array<const char*, 3> columns { "revision", "accepted_unix_ms", "author" };
    const std::string target = "/v1/configuration/history?limit=" + std::to_string(options.limit);
    return printTableAnswer(
        sendToConsole(options, { "GET", target, {}, {}, {} }), options.json, "history", columns);
}

int drainVm(const Options& options)
{
    return changeDrain(options, "[drain " + options.words[1] + "]\nreason = " + options.reason + "\n");
}

int undrainVm(const Options& options)
{
    return changeDrain(options, {});
}

int listMembers(const Options& options)
{
    static constexpr std::array<const char*, 6> columns { "name", "role", "region", "domain", "state",
        "revision" };
    return printTableAnswer(
        sendToConsole(options, { "GET", "/v1/members", {}, {}, {} }), options.json, "members", columns);
}

int burnReport(const Options& options)
{
    const std::string format = options.json ? "json" : options.format.empty() ? "text" : options.format;
    const Answer answer = sendToConsole(options, { "GET", "/v1/burn?format=" + format, {}, {}, {} });
    if (!isSuccess(answer))
        return printUnsuccessful(answer, options.json);
    std::cout << Utils::value(answer).body << "\n";
    return ExitSuccess;
}

} // namespace Control
