#include "jobhandler.h"

#include "batch/jobapi.h"
#include "http/headers.h"
#include "http/target.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <chrono>

namespace Entry {

namespace {

constexpr std::size_t threadCount = 8;
constexpr int maxWaitingRequests = 256;
constexpr unsigned statusUnavailable = 503;
constexpr std::string_view jobsPath = "/v1/jobs";

std::uint64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

Http::Response tooManyRequestsResponse()
{
    Http::Response response = Http::jsonResponse(statusUnavailable,
        R"({"error":"refused","step":"jobs.admit","peer":"","message":"too many calls wait for the table"})");
    response.headers.push_back({ "Retry-After", "1" });
    return response;
}

} // namespace

class JobHandler::Private {
public:
    explicit Private(Platform::TableService& table)
        : api_(table)
    {
    }

    ~Private() { threads_.join(); }

    void handle(Http::Request request, Http::Responder respond)
    {
        if (++waitingRequests_ > maxWaitingRequests) {
            --waitingRequests_;
            return respond(tooManyRequestsResponse());
        }
        boost::asio::post(
            threads_, [this, acceptedRequest = std::move(request), sendResponse = std::move(respond)] {
                const std::string path = Http::parseTarget(acceptedRequest.target).path;
                Batch::JobResponse result
                    = api_.handle(acceptedRequest.method, path, acceptedRequest.body, unixMilliseconds());
                --waitingRequests_;
                sendResponse(Http::jsonResponse(result.status, std::move(result.body)));
            });
    }

private:
    Batch::JobApi api_;
    std::atomic<int> waitingRequests_ = 0;
    boost::asio::thread_pool threads_ { threadCount };
};

JobHandler::JobHandler(Platform::TableService& table)
    : d_(std::make_unique<Private>(table))
{
}

JobHandler::~JobHandler() = default;

bool JobHandler::accepts(std::string_view target)
{
    const std::string path = Http::parseTarget(target).path;
    return path == jobsPath || path.starts_with(std::string(jobsPath) + "/");
}

void JobHandler::handle(Http::Request request, Http::Responder respond)
{
    d_->handle(std::move(request), std::move(respond));
}

} // namespace Entry
