#include "jobsendpoint.h"

#include "batch/jobapi.h"
#include "http/headers.h"
#include "http/target.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <chrono>

namespace Entry {

namespace {

constexpr std::size_t threadCount = 4;
constexpr std::string_view jobsPath = "/v1/jobs";

std::uint64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

class JobsEndpoint::Private {
public:
    explicit Private(Platform::TableService& table)
        : api(table)
    {
    }

    Batch::JobApi api;
    boost::asio::thread_pool threads { threadCount };
};

JobsEndpoint::JobsEndpoint(Platform::TableService& table)
    : d_(std::make_unique<Private>(table))
{
}

JobsEndpoint::~JobsEndpoint()
{
    d_->threads.join();
}

bool JobsEndpoint::takes(std::string_view target)
{
    const std::string path = Http::parseTarget(target).path;
    return path == jobsPath || path.starts_with(std::string(jobsPath) + "/");
}

void JobsEndpoint::handle(Http::Request request, Http::Responder respond)
{
    boost::asio::post(d_->threads, [this, moved = std::move(request), answer = std::move(respond)] {
        Batch::JobAnswer made = d_->api.handle(
            moved.method, Http::parseTarget(moved.target).path, moved.body, unixMilliseconds());
        answer(Http::jsonResponse(made.status, std::move(made.body)));
    });
}

} // namespace Entry
