#include "callerrequest.h"

#include "http/headers.h"
#include "utils/identifiers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace Gateway {

namespace {

constexpr std::string_view prefix = "/services/";
constexpr std::size_t maxIdLength = 128;
constexpr std::int64_t maxDeadlineMs = 600000;

Utils::Error invalid(std::string message)
{
    return { Utils::ErrorCode::InvalidArgument, "request.parse", {}, std::move(message) };
}

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 6> methods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS",
        "TRACE" };
    return std::ranges::find(methods, method) != methods.end();
}

// Ids and keys go into headers, rows and logs.
bool isPlainToken(std::string_view text)
{
    const auto isPlain
        = [](char letter) { return letter > ' ' && letter < '\x7f' && letter != '"' && letter != '\\'; };
    return text.size() <= maxIdLength && std::ranges::all_of(text, isPlain);
}

bool parseDeadline(std::string_view text, Utils::Duration& deadline)
{
    std::int64_t milliseconds = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (code != std::errc {} || end != text.data() + text.size())
        return false;
    if (milliseconds < 1 || milliseconds > maxDeadlineMs)
        return false;
    deadline = std::chrono::milliseconds(milliseconds);
    return true;
}

} // namespace

Utils::Result<CallerRequest> parseCallerRequest(const Http::Request& request, Utils::Duration defaultDeadline)
{
    const std::string_view target = request.target;
    if (!target.starts_with(prefix))
        return Utils::Error { Utils::ErrorCode::NotFound, "request.parse", {}, "unknown path" };
    const std::string_view rest = target.substr(prefix.size());
    const std::size_t nameEnd = std::min(rest.find_first_of("/?"), rest.size());
    CallerRequest caller;
    caller.service = rest.substr(0, nameEnd);
    caller.target = rest.substr(nameEnd);
    if (!caller.target.starts_with('/'))
        caller.target.insert(0, "/");
    caller.idempotent = isIdempotentMethod(request.method);
    caller.deadline = defaultDeadline;
    const auto header
        = [&request](std::string_view name) { return Http::findHeader(request.headers, name).value_or(""); };
    caller.id = header("Geraniumquay-Request-Id");
    caller.priorityClass = header("Geraniumquay-Class");
    caller.key = header("Idempotency-Key");
    caller.caller = header("Geraniumquay-Caller");
    caller.forwarded = !header("Geraniumquay-Forwarded").empty();
    if (!isPlainToken(caller.id) || !isPlainToken(caller.key) || !isPlainToken(caller.priorityClass)
        || !isPlainToken(caller.caller))
        return invalid("ids, keys and classes are at most 128 printable characters without quotes");
    const std::string_view deadline = header("Geraniumquay-Deadline-Ms");
    if (!deadline.empty() && !parseDeadline(deadline, caller.deadline))
        return invalid("Geraniumquay-Deadline-Ms must be a whole number from 1 to 600000");
    if (caller.caller.empty())
        caller.caller = request.peer;
    if (caller.id.empty())
        caller.id = Utils::makeUniqueId();
    return caller;
}

Http::Request backendRequest(const Http::Request& request, const CallerRequest& caller)
{
    Http::Request forwarded { request.method, caller.target, {}, request.body, {} };
    for (const Http::Header& header : request.headers) {
        if (!Http::isHopByHop(header.name) && !Http::equalNames(header.name, "Geraniumquay-Request-Id"))
            forwarded.headers.push_back(header);
    }
    forwarded.headers.push_back({ "Geraniumquay-Request-Id", caller.id });
    return forwarded;
}

} // namespace Gateway
