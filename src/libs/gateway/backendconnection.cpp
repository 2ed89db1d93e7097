#include "backendconnection.h"

#include "http/beastmessage.h"
#include "http/headers.h"
#include "http/idlesocket.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace Gateway::Internal {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr char outcomeHeader[] = "Geraniumquay-Outcome";
constexpr char outcomeNotRunValue[] = "not-run";
constexpr std::uint32_t maxResponseHeaderBytes = 64U << 10U;

Utils::Error exchangeError(std::string_view step, const boost::system::error_code& errorCode)
{
    const auto code
        = errorCode == Beast::error::timeout ? Utils::ErrorCode::Timeout : Utils::ErrorCode::Unavailable;
    return { code, std::string(step), {}, errorCode.message() };
}

// Returns true if the backend server states in the outcome header that it has not executed the request.
bool isRefusal(const Http::Response& response)
{
    if (response.status != statusUnavailable && response.status != statusTooManyRequests)
        return false;
    return Http::findHeader(response.headers, outcomeHeader) == std::string_view(outcomeNotRunValue);
}

Utils::TimePoint limitedDeadline(Utils::TimePoint deadline, Utils::Duration timeout)
{
    if (timeout == Utils::Duration::zero())
        return deadline;
    return std::min(deadline, std::chrono::steady_clock::now() + timeout);
}

} // namespace

BackendConnection::BackendConnection(const Strand& strand)
    : strand_(strand)
    , stream_(strand)
{
}

boost::system::error_code BackendConnection::open(
    const BackendAddress& backend, const ExchangeLimits& limits, const Asio::yield_context& yield)
{
    boost::system::error_code errorCode;
    const auto address = Asio::ip::make_address(backend.address, errorCode);
    if (errorCode)
        return errorCode;
    stream_.expires_at(limitedDeadline(limits.deadline, limits.connectTimeout));
    stream_.async_connect(Asio::ip::tcp::endpoint(address, backend.port), yield[errorCode]);
    if (errorCode)
        return errorCode;
    boost::system::error_code ignored;
    stream_.socket().set_option(Asio::ip::tcp::no_delay(true), ignored);
    lastReceived_ = std::chrono::steady_clock::now();
    reusable_ = true;
    return errorCode;
}

ExchangeResult BackendConnection::exchange(
    const Http::Request& request, const ExchangeLimits& limits, const Asio::yield_context& yield)
{
    reusable_ = false;
    Http::Internal::BeastRequest message = Http::Internal::toBeast(request);
    boost::system::error_code errorCode;
    stream_.expires_at(limitedDeadline(limits.deadline, limits.progressTimeout));
    const std::size_t bytesSent = Beast::http::async_write(stream_, message, yield[errorCode]);
    if (errorCode) {
        const auto phase = bytesSent == 0 ? ExchangePhase::NotSent : ExchangePhase::Broken;
        return { phase, {}, exchangeError("backend.write", errorCode), {} };
    }
    return readResponse(request.method == "HEAD", limits, yield);
}

ExchangeResult BackendConnection::readResponse(
    bool isHead, const ExchangeLimits& limits, const Asio::yield_context& yield)
{
    Beast::http::response_parser<Beast::http::string_body> parser;
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(maxResponseHeaderBytes);
    parser.skip(isHead);
    boost::system::error_code errorCode;
    while (!errorCode && !parser.is_done()) {
        stream_.expires_at(limitedDeadline(limits.deadline, limits.progressTimeout));
        Beast::http::async_read_some(stream_, buffer_, parser, yield[errorCode]);
    }
    if (errorCode)
        return { ExchangePhase::Broken, {}, exchangeError("backend.read", errorCode), {} };
    // A response delimited only by the end of the connection cannot be distinguished from a truncated one.
    if (parser.need_eof() && !isHead)
        return { ExchangePhase::Broken, {},
            { Utils::ErrorCode::OutcomeUnknown, "backend.read", {}, "answer without length" }, {} };
    lastReceived_ = std::chrono::steady_clock::now();
    reusable_ = parser.keep_alive() && buffer_.size() == 0;
    Http::Response response = Http::Internal::fromBeast(parser.release());
    const auto phase = isRefusal(response) ? ExchangePhase::Refused : ExchangePhase::Completed;
    return { phase, std::move(response), {}, {} };
}

bool BackendConnection::isUsable(Utils::Duration maxIdle)
{
    if (!reusable_ || std::chrono::steady_clock::now() - lastReceived_ > maxIdle)
        return false;
    return Http::Internal::isIdle(stream_.socket());
}

} // namespace Gateway::Internal
