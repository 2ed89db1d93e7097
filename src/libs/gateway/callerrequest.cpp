#include "callerrequest.h"

#include "http/headers.h"
#include "utils/identifiers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace Gateway {

namespace {

constexpr std::string_view servicePathPrefix = "/services/";
constexpr std::size_t maxTokenLength = 128;
constexpr std::int64_t maxDeadlineMs = 600000;

Utils::Error invalidArgument(std::string message)
{
    return { Utils::ErrorCode::InvalidArgument, "request.parse", {}, std::move(message) };
}

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 6> methods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS",
        "TRACE" };
    return std::ranges::find(methods, method) != methods.end();
}

// Request ids, keys and class names are copied into headers, table rows and logs, so they must not contain
// blanks, control characters, quotes or backslashes.
bool isValidToken(std::string_view token)
{
    const auto isAllowed = [](char character) {
        return character > ' ' && character < '\x7f' && character != '"' && character != '\\';
    };
    return token.size() <= maxTokenLength && std::ranges::all_of(token, isAllowed);
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
    if (!target.starts_with(servicePathPrefix))
        return Utils::Error { Utils::ErrorCode::NotFound, "request.parse", {}, "unknown path" };
    const std::string_view pathAfterPrefix = target.substr(servicePathPrefix.size());
    const std::size_t nameEnd = std::min(pathAfterPrefix.find_first_of("/?"), pathAfterPrefix.size());
    CallerRequest caller;
    caller.service = pathAfterPrefix.substr(0, nameEnd);
    caller.target = pathAfterPrefix.substr(nameEnd);
    if (!caller.target.starts_with('/'))
        caller.target.insert(0, "/");
    caller.idempotent = isIdempotentMethod(request.method);
    caller.deadline = defaultDeadline;
    const auto headerValue
        = [&request](std::string_view name) { return Http::findHeader(request.headers, name).value_or(""); };
    caller.id = headerValue("Geraniumquay-Request-Id");
    caller.priorityClass = headerValue("Geraniumquay-Class");
    caller.key = headerValue("Idempotency-Key");
    caller.callerId = headerValue("Geraniumquay-Caller");
    caller.forwarded = !headerValue("Geraniumquay-Forwarded").empty();
    if (!isValidToken(caller.id) || !isValidToken(caller.key) || !isValidToken(caller.priorityClass)
        || !isValidToken(caller.callerId))
        return invalidArgument("ids, keys and classes are at most 128 printable characters without quotes");
    const std::string_view deadline = headerValue("Geraniumquay-Deadline-Ms");
    if (!deadline.empty() && !parseDeadline(deadline, caller.deadline))
        return invalidArgument("Geraniumquay-Deadline-Ms must be a whole number from 1 to 600000");
    if (caller.callerId.empty())
        caller.callerId = request.peer;
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
