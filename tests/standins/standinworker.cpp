#include "simulatedtasks.h"
#include "standinserver.h"

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
constexpr auto stepInterval = std::chrono::milliseconds(10);
constexpr auto sampleInterval = std::chrono::seconds(1);
constexpr long defaultSampleLagMs = 30000;

std::int64_t toMilliseconds(Utils::TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/*
    The task agent of a worker, with simulated tasks.

    Faults: down=1 (respond with 503 to all requests), silent=1 (never respond), lose-answer=N (the next N
    batches of commands are executed, but get no response), slow=MS (delay of each response), fail=1 (every
    task fails immediately), lag=MS (age at which usage samples are reported).
    GET /runs returns every start and end of an attempt as JSON.
*/
class WorkerStandIn {
public:
    WorkerStandIn(Faults& faults, boost::asio::io_context& context)
        : faults_(faults)
        , context_(context)
        , timer_(context)
        , core_("worker", Utils::makeUniqueId())
        , lastStepTime_(clock_.now())
        , lastSampleTime_(clock_.now())
    {
        scheduleStep();
    }

    void handle(const Http::Request& request, const Http::Target& target, const Http::Responder& respond)
    {
        if (target.path == "/runs")
            return respond(runLogResponse());
        if (faults_.value("silent") != 0)
            return;
        if (faults_.value("down") != 0)
            return respond({ statusUnavailable, {}, {} });
        if (target.path != "/v1/commands")
            return respond({ statusNotFound, {}, {} });
        Http::Response response = handleCommands(request);
        if (!faults_.consume("lose-answer"))
            respondAfter(context_, faults_.value("slow"), respond, std::move(response));
    }

private:
    Http::Response handleCommands(const Http::Request& request)
    {
        Schema::CommandBatch batch;
        if (!batch.ParseFromString(request.body))
            return { statusBadRequest, {}, {} };
        step();
        Batch::RunnerCommands commands;
        Schema::WorkerReport report = core_.onBatch(batch, clock_.now(), commands);
        tasks_.executeCommands(commands, faults_.value("fail") != 0);
        addSamples(report);
        return { statusOk, { { "Content-Type", "application/x-protobuf" } }, report.SerializeAsString() };
    }

    void addSamples(Schema::WorkerReport& report)
    {
        const long lagMs = faults_.value("lag") > 0 ? faults_.value("lag") : defaultSampleLagMs;
        while (
            !samples_.empty() && clock_.now() - samples_.front().first >= std::chrono::milliseconds(lagMs)) {
            Schema::UsageSample& sample = *report.add_samples();
            sample = samples_.front().second;
            sample.set_age_ms(toMilliseconds(clock_.now()) - toMilliseconds(samples_.front().first));
            samples_.pop_front();
        }
    }

    // Handles expired leases before progress, so that a process that was suspended for long completes no
    // attempt after its lease.
    void step()
    {
        const Utils::TimePoint now = clock_.now();
        Batch::RunnerCommands leaseEndCommands;
        core_.tick(now, leaseEndCommands);
        tasks_.executeCommands(leaseEndCommands, false);
        for (const SimulatedTasks::EndedAttempt& endedAttempt : tasks_.advance(now - lastStepTime_))
            core_.onAttemptEnded(
                endedAttempt.attempt, endedAttempt.state, endedAttempt.checkpoint, endedAttempt.reason, now);
        for (const auto& [id, progress] : tasks_.progress())
            core_.onProgress(id, progress);
        lastStepTime_ = now;
        if (now - lastSampleTime_ < sampleInterval)
            return;
        lastSampleTime_ = now;
        for (Schema::UsageSample& sample : tasks_.usage())
            samples_.emplace_back(now, std::move(sample));
    }

    void scheduleStep()
    {
        timer_.expires_after(stepInterval);
        timer_.async_wait([this](boost::system::error_code) {
            step();
            scheduleStep();
        });
    }

    Http::Response runLogResponse() const
    {
        boost::json::array entries;
        for (const Batch::RunLogEntry& entry : core_.runLog()) {
            entries.push_back({ { "job", entry.attempt.job }, { "task", entry.attempt.task },
                { "attempt", entry.attempt.attempt }, { "event", entry.isStart ? "start" : "end" },
                { "state", Schema::AttemptState_Name(entry.state) }, { "checkpoint", entry.checkpoint },
                { "at_ms", toMilliseconds(entry.time) } });
        }
        return Http::jsonResponse(statusOk, boost::json::serialize(entries));
    }

    Faults& faults_;
    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    Utils::SteadyClock clock_;
    Batch::WorkerCore core_;
    SimulatedTasks tasks_;
    std::deque<std::pair<Utils::TimePoint, Schema::UsageSample>> samples_;
    Utils::TimePoint lastStepTime_;
    Utils::TimePoint lastSampleTime_;
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
