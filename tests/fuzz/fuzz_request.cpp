// checkfuzz runs=50000 seed=1 max_len=4096
// Caller requests: forwarded requests contain no hop-by-hop headers and exactly one request id.

#include <gateway/callerrequest.h>
#include <http/headers.h>
#include <http/target.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

constexpr auto defaultDeadline = std::chrono::seconds(10);

[[noreturn]] void fail(std::string_view message)
{
    std::cerr << message << "\n";
    std::abort();
}

std::string_view readLine(std::string_view& text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

// The lines of the text are the method, the target and then the headers, as provided by an HTTP parser.
Http::Request makeRequest(std::string_view text)
{
    Http::Request request;
    request.method = readLine(text);
    request.target = readLine(text);
    request.peer = "127.0.0.1";
    while (!text.empty()) {
        const std::string_view line = readLine(text);
        const std::size_t colon = std::min(line.find(':'), line.size());
        request.headers.push_back({ std::string(line.substr(0, colon)),
            std::string(line.substr(std::min(colon + 1, line.size()))) });
    }
    return request;
}

void checkBackendRequest(const Http::Request& request, const Gateway::CallerRequest& caller)
{
    const Http::Request forwarded = Gateway::backendRequest(request, caller);
    if (!forwarded.target.starts_with('/'))
        fail("the target is no path");
    const auto isRequestId
        = [](const Http::Header& header) { return Http::equalNames(header.name, "Geraniumquay-Request-Id"); };
    if (std::ranges::count_if(forwarded.headers, isRequestId) != 1)
        fail("not exactly one request id");
    if (std::ranges::any_of(
            forwarded.headers, [](const auto& header) { return Http::isHopByHop(header.name); }))
        fail("a header of the connection is forwarded");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const Http::Target target = Http::parseTarget(text);
    for (const auto& [name, value] : target.query) {
        const Http::Target decoded
            = Http::parseTarget("/?" + Http::encodeQuery(name) + "=" + Http::encodeQuery(value));
        if (decoded.value(name) != value)
            fail("an encoded query reads back to another one");
    }
    const Http::Request request = makeRequest(text);
    const auto caller = Gateway::parseCallerRequest(request, defaultDeadline);
    if (!Utils::isOk(caller))
        return 0;
    if (Utils::value(caller).deadline <= Utils::Duration::zero())
        fail("a deadline is not positive");
    if (Utils::value(caller).service.find('/') != std::string::npos)
        fail("a service contains a slash");
    checkBackendRequest(request, Utils::value(caller));
    return 0;
}
