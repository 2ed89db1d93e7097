#include "standinserver.h"

#include "http/headers.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdlib>

namespace StandIns {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusError = 500;
constexpr unsigned statusUnavailable = 503;

/*
    A backend server with slots. It executes a request for the duration of its query parameter "ms" and echoes
    the body. "GET /log" returns how often each request id was executed.

    Faults: slots=N (reject more than N concurrent requests), slow=MS (added to the duration of each request),
    fail=1 (respond with 500 immediately), refuse=1 (respond with 503 and not-run), leaving=1 (reject and ask
    to close the connection), mute=1 (execute, but never respond).
*/
class BackendStandIn {
public:
    BackendStandIn(Faults& faults, boost::asio::io_context& context)
        : faults_(faults)
        , context_(context)
    {
    }

    void handle(const Http::Request& request, const Http::Target& target, const Http::Responder& respond)
    {
        if (target.path == "/log")
            return respond(runLogResponse());
        if (faults_.value("refuse") != 0 || faults_.value("leaving") != 0 || isFull())
            return respond(rejectResponse());
        ++runCounts_[requestId(request)];
        if (faults_.value("fail") != 0)
            return respond({ statusError, {}, "failed" });
        ++runningCount_;
        maxRunning_ = std::max(maxRunning_, runningCount_);
        const long delayMs = std::atol(std::string(target.value("ms")).c_str()) + faults_.value("slow");
        const Http::Responder finish = [this, respond](Http::Response response) {
            --runningCount_;
            if (faults_.value("mute") == 0)
                respond(std::move(response));
        };
        respondAfter(
            context_, delayMs, finish, { statusOk, { { "Content-Type", "text/plain" } }, request.body });
    }

private:
    bool isFull() const
    {
        const long slots = faults_.value("slots");
        return slots > 0 && runningCount_ >= slots;
    }

    Http::Response rejectResponse() const
    {
        Http::Response response { statusUnavailable, { { "Geraniumquay-Outcome", "not-run" } }, {} };
        if (faults_.value("leaving") != 0)
            response.headers.push_back({ "Connection", "close" });
        return response;
    }

    static std::string requestId(const Http::Request& request)
    {
        return std::string(Http::findHeader(request.headers, "Geraniumquay-Request-Id").value_or("none"));
    }

    Http::Response runLogResponse() const
    {
        boost::json::object runs;
        for (const auto& [id, count] : runCounts_)
            runs[id] = count;
        const boost::json::object log { { "runs", runs }, { "most_running", maxRunning_ } };
        return Http::jsonResponse(statusOk, boost::json::serialize(log));
    }

    Faults& faults_;
    boost::asio::io_context& context_;
    std::map<std::string, long> runCounts_;
    long runningCount_ = 0;
    long maxRunning_ = 0;
};

} // namespace

} // namespace StandIns

int main(int argc, char** argv)
{
    boost::asio::io_context context(1);
    StandIns::Faults faults;
    StandIns::BackendStandIn backend(faults, context);
    return StandIns::runStandIn(argc, argv, "standin-backend", faults, context,
        [&backend](const Http::Request& request, const Http::Target& target, const Http::Responder& respond) {
            backend.handle(request, target, respond);
        });
}
