#include "outcomeresponse.h"

#include "http/headers.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace Gateway::Internal {

namespace {

constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr char outcomeHeader[] = "Geraniumquay-Outcome";
constexpr char servedByHeader[] = "Geraniumquay-Served-By";

bool isReplacedHeader(const Http::Header& header)
{
    return Http::isHopByHop(header.name) || Http::equalNames(header.name, outcomeHeader)
        || Http::equalNames(header.name, servedByHeader);
}

} // namespace

Http::Response outcomeResponse(unsigned status, Requests::Outcome outcome, const Utils::Error& error)
{
    const boost::json::object body { { "error", Utils::errorCodeName(error.code) }, { "step", error.step },
        { "peer", error.peer }, { "message", error.message } };
    Http::Response response = Http::jsonResponse(status, boost::json::serialize(body));
    response.headers.push_back({ outcomeHeader, Requests::outcomeName(outcome) });
    return response;
}

Http::Response rejectResponse(const Requests::Reject& reject)
{
    const bool isDeadlinePassed = reject.reason == Requests::RejectReason::DeadlinePassed;
    const Utils::Error error { isDeadlinePassed ? Utils::ErrorCode::Timeout : Utils::ErrorCode::Refused,
        "request.admit", {}, Requests::rejectReasonName(reject.reason) };
    Http::Response response = outcomeResponse(
        isDeadlinePassed ? statusGatewayTimeout : statusUnavailable, Requests::Outcome::NotRun, error);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(reject.retryAfter).count();
    response.headers.push_back({ "Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)) });
    return response;
}

Http::Response completedResponse(Http::Response response, std::string_view servedBy)
{
    std::erase_if(response.headers, isReplacedHeader);
    response.headers.push_back({ outcomeHeader, Requests::outcomeName(Requests::Outcome::Completed) });
    response.headers.push_back({ servedByHeader, std::string(servedBy) });
    return response;
}

} // namespace Gateway::Internal
