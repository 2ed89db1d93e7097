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
constexpr int maxWaiting = 256;
constexpr unsigned statusUnavailable = 503;
constexpr std::string_view prefix = "/v1/jobs";

std::uint64_t unixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

Http::Response tooMany()
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
        if (++waiting_ > maxWaiting) {
            --waiting_;
            return respond(tooMany());
        }
        boost::asio::post(threads_, [this, moved = std::move(request), answer = std::move(respond)] {
            const std::string path = Http::parseTarget(moved.target).path;
            Batch::JobResponse result = api_.handle(moved.method, path, moved.body, unixMs());
            --waiting_;
            answer(Http::jsonResponse(result.status, std::move(result.body)));
        });
    }

private:
    Batch::JobApi api_;
    std::atomic<int> waiting_ = 0;
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
    return path == prefix || path.starts_with(std::string(prefix) + "/");
}

void JobHandler::handle(Http::Request request, Http::Responder respond)
{
    d_->handle(std::move(request), std::move(respond));
}

} // namespace Entry
