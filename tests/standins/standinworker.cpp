#include "simulatedtasks.h"
#include "standinframe.h"

#include "http/headers.h"
#include "utils/identifiers.h"
#include "utils/steadyclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>

namespace StandIns {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
constexpr auto stepLength = std::chrono::milliseconds(10);
constexpr auto sampleInterval = std::chrono::seconds(1);
constexpr long defaultLagMs = 30000;

std::int64_t toMilliseconds(Utils::TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/*
    A worker's task agent with simulated tasks.

    Faults: down=1 (503 to all), silent=1 (no answer), lose-answer=N (the next N batches are obeyed and never
    answered), slow=MS, fail=1 (every task fails at once), lag=MS (age of usage samples).
    GET /runs tells every start and end as JSON.
*/
class WorkerStandIn {
public:
    WorkerStandIn(Faults& faults, boost::asio::io_context& context)
        : faults_(faults)
        , context_(context)
        , timer_(context)
        , core_("worker", Utils::makeUniqueId())
        , steppedAt_(clock_.now())
        , sampledAt_(clock_.now())
    {
        waitForStep();
    }

    void handle(const Http::Request& request, const Http::Target& target, const Http::Responder& respond)
    {
        if (target.path == "/runs")
            return respond(runs());
        if (faults_.value("silent") != 0)
            return;
        if (faults_.value("down") != 0)
            return respond({ statusUnavailable, {}, {} });
        if (target.path != "/v1/commands")
            return respond({ statusNotFound, {}, {} });
        Http::Response response = obey(request);
        if (!faults_.take("lose-answer"))
            respondAfter(context_, faults_.value("slow"), respond, std::move(response));
    }

private:
    Http::Response obey(const Http::Request& request)
    {
        Schema::CommandBatch batch;
        if (!batch.ParseFromString(request.body))
            return { statusBadRequest, {}, {} };
        step();
        Batch::RunnerCommands orders;
        Schema::WorkerReport report = core_.onBatch(batch, clock_.now(), orders);
        tasks_.obey(orders, faults_.value("fail") != 0);
        addSamples(report);
        return { statusOk, { { "Content-Type", "application/x-protobuf" } }, report.SerializeAsString() };
    }

    void addSamples(Schema::WorkerReport& report)
    {
        const long lag = faults_.value("lag") > 0 ? faults_.value("lag") : defaultLagMs;
        while (!samples_.empty() && clock_.now() - samples_.front().first >= std::chrono::milliseconds(lag)) {
            Schema::UsageSample& sample = *report.add_samples();
            sample = samples_.front().second;
            sample.set_age_ms(toMilliseconds(clock_.now()) - toMilliseconds(samples_.front().first));
            samples_.pop_front();
        }
    }

    // A lapse comes before progress, so that a process that was stopped for long finishes nothing late.
    void step()
    {
        const Utils::TimePoint now = clock_.now();
        Batch::RunnerCommands lapsed;
        core_.tick(now, lapsed);
        tasks_.obey(lapsed, false);
        for (const SimulatedTasks::End& end : tasks_.advance(now - steppedAt_))
            core_.onAttemptEnded(end.attempt, end.state, end.checkpoint, end.reason, now);
        for (const auto& [id, progress] : tasks_.progress())
            core_.onProgress(id, progress);
        steppedAt_ = now;
        if (now - sampledAt_ < sampleInterval)
            return;
        sampledAt_ = now;
        for (Schema::UsageSample& sample : tasks_.usage())
            samples_.emplace_back(now, std::move(sample));
    }

    void waitForStep()
    {
        timer_.expires_after(stepLength);
        timer_.async_wait([this](boost::system::error_code) {
            step();
            waitForStep();
        });
    }

    Http::Response runs() const
    {
        boost::json::array list;
        for (const Batch::RunLogEntry& entry : core_.runLog()) {
            list.push_back({ { "job", entry.attempt.job }, { "task", entry.attempt.task },
                { "attempt", entry.attempt.attempt }, { "event", entry.isStart ? "start" : "end" },
                { "state", Schema::AttemptState_Name(entry.state) }, { "checkpoint", entry.checkpoint },
                { "at_ms", toMilliseconds(entry.time) } });
        }
        return Http::jsonResponse(statusOk, boost::json::serialize(list));
    }

    Faults& faults_;
    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    Utils::SteadyClock clock_;
    Batch::WorkerCore core_;
    SimulatedTasks tasks_;
    std::deque<std::pair<Utils::TimePoint, Schema::UsageSample>> samples_;
    Utils::TimePoint steppedAt_;
    Utils::TimePoint sampledAt_;
};

} // namespace

} // namespace StandIns

int main(int argc, char** argv)
{
    boost::asio::io_context context(1);
    StandIns::Faults faults;
    StandIns::WorkerStandIn worker(faults, context);
    return StandIns::runStandIn(argc, argv, "standin-worker", faults, context,
        [&worker](const Http::Request& request, const Http::Target& target, const Http::Responder& respond) {
            worker.handle(request, target, respond);
        });
}
