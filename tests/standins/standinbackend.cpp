#include "standinframe.h"

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
    A backend server with slots. It runs a request for as long as its query parameter "ms" says and
    echoes the body; "GET /log" lists how often each request id ran.

    Faults: slots=N (refuse above N at once), slow=MS, fail=1 (500 at once), refuse=1 (503 not-run),
    leaving=1 (refuse and ask to close), mute=1 (run, never answer).
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
            return respond(runLog());
        if (faults_.value("refuse") != 0 || faults_.value("leaving") != 0 || isFull())
            return respond(refusal());
        ++runs_[requestId(request)];
        if (faults_.value("fail") != 0)
            return respond({ statusError, {}, "failed" });
        ++running_;
        mostRunning_ = std::max(mostRunning_, running_);
        const long delay = std::atol(std::string(target.value("ms")).c_str()) + faults_.value("slow");
        const Http::Responder finish = [this, respond](Http::Response response) {
            --running_;
            if (faults_.value("mute") == 0)
                respond(std::move(response));
        };
        respondAfter(
            context_, delay, finish, { statusOk, { { "Content-Type", "text/plain" } }, request.body });
    }

private:
    bool isFull() const
    {
        const long slots = faults_.value("slots");
        return slots > 0 && running_ >= slots;
    }

    Http::Response refusal() const
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

    Http::Response runLog() const
    {
        boost::json::object runs;
        for (const auto& [id, count] : runs_)
            runs[id] = count;
        const boost::json::object log { { "runs", runs }, { "most_running", mostRunning_ } };
        return Http::jsonResponse(statusOk, boost::json::serialize(log));
    }

    Faults& faults_;
    boost::asio::io_context& context_;
    std::map<std::string, long> runs_;
    long running_ = 0;
    long mostRunning_ = 0;
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
