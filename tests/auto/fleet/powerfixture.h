#pragma once

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Testing {

inline constexpr std::chrono::milliseconds tickInterval = std::chrono::milliseconds(100);
// Wait of a poll of a busy worker, its timeout beyond the wait, and the pause after a failed one.
inline constexpr std::chrono::milliseconds pollWait = std::chrono::milliseconds(400);
inline constexpr std::chrono::milliseconds callTimeout = std::chrono::milliseconds(700);
inline constexpr std::chrono::milliseconds pollPause = std::chrono::milliseconds(250);
// A node takes over a shard this long after the loss of its owner.
inline constexpr std::chrono::milliseconds takeoverTime = std::chrono::milliseconds(3900);
// FleetNode::renewalTime() and startTime() of the default settings.
inline constexpr std::chrono::milliseconds renewalTime = std::chrono::milliseconds(5100);
inline constexpr std::chrono::milliseconds startTime = std::chrono::milliseconds(5400);

/*! A shard whose workers lose power; polls that wait there fail late, and further ones are planned as by a
 * node. */
struct PowerFixture : SchedulerFixture {
    using SchedulerFixture::SchedulerFixture;

    /*! Replaces an owner that was lost \p at a time and answers nothing. */
    PowerFixture(const PowerFixture& former, Utils::TimePoint at)
        : SchedulerFixture(0)
    {
        now = at + takeoverTime;
        rows = former.rows;
        running = former.running;
        workers = former.workers;
        scheduler.setFormerLease(std::chrono::seconds(5));
        scheduler.setFormerRenewal(renewalTime * 51 / 50 - takeoverTime);
        scheduler.setFormerStart(startTime * 51 / 50 - takeoverTime);
        for (const auto& [key, value] : rows) {
            FleetSchema::JobRecord record;
            REQUIRE(record.ParseFromString(value));
            scheduler.restore(record, now, testStartUnixMs);
        }
        listWorkers();
        for (const auto& [worker, poll] : former.lost_)
            lost_[worker] = { now + callTimeout, false };
    }

    void listWorkers()
    {
        std::vector<Ports::WorkerInfo> infos;
        for (const std::string& worker : workers)
            infos.push_back(makeWorkerInfo(worker));
        scheduler.setWorkers(infos, now);
    }

    void submit(const std::string& job, const FleetSchema::StepSpec& step)
    {
        scheduler.submit(makeJob(job, { step }), 1, now, testStartUnixMs);
    }

    /*! The latest poll was sent just before the loss and is the longest. */
    void lose(const std::set<std::string>& names)
    {
        for (const std::string& worker : names) {
            scheduler.planPoll(worker, now, true);
            lost_[worker] = { now + pollWait + callTimeout, false };
        }
        std::erase_if(running, [&](const Fleet::AttemptStart& run) { return names.contains(run.worker); });
    }

    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += tickInterval;
            for (const std::string& worker : workers)
                poll(worker);
            failStarts();
            scheduler.onTick(now, testStartUnixMs);
            if (keepsWaitingShortTasks)
                submitShortTasks();
            for (int round = 0; round < 2; ++round) {
                scheduleAndCommit();
                answerStarts();
                answerStops();
            }
        }
    }

    /*! \return the time until \p count long-running tasks run; \p limit if they don't within it. */
    std::int64_t timeToRun(std::size_t count, std::chrono::milliseconds limit = std::chrono::seconds(60))
    {
        const Utils::TimePoint start = now;
        while (countLongRunning() < count && now - start < limit)
            advance(tickInterval);
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - start).count();
    }

    std::size_t countLongRunning() const
    {
        return static_cast<std::size_t>(std::count_if(running.begin(), running.end(),
            [this](const Fleet::AttemptStart& run) { return !isShort(run.task); }));
    }

    /*! \return the workers with the most long-running tasks. */
    std::set<std::string> busiestWorkers(std::size_t count) const
    {
        const std::vector<std::string> sorted = workersByTasks();
        return { sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count) };
    }

    /*! \return the workers with the fewest long-running tasks. */
    std::set<std::string> idlestWorkers(std::size_t count) const
    {
        const std::vector<std::string> sorted = workersByTasks();
        return { sorted.end() - static_cast<std::ptrdiff_t>(count), sorted.end() };
    }

    bool failsChecks = false; //!< Whether no worker answers a check in time.
    bool keepsWaitingShortTasks = false;

private:
    struct Poll {
        Utils::TimePoint at;
        bool isPlanned = false; //!< Whether the poll is planned then; otherwise it fails then.
    };
    struct FailingStart {
        Fleet::AttemptStart start;
        Utils::TimePoint at;
    };

    bool isShort(const Ports::TaskKey& task) const { return task.job.starts_with("short"); }

    // Returns the workers that are not lost, those with the most long-running tasks first.
    std::vector<std::string> workersByTasks() const
    {
        std::map<std::string, std::size_t> counts;
        for (const Fleet::AttemptStart& run : running)
            counts[run.worker] += isShort(run.task) ? 0 : 1;
        std::vector<std::string> sorted;
        std::copy_if(workers.begin(), workers.end(), std::back_inserter(sorted),
            [this](const std::string& worker) { return !lost_.contains(worker); });
        std::stable_sort(sorted.begin(), sorted.end(),
            [&](const std::string& left, const std::string& right) { return counts[left] > counts[right]; });
        return sorted;
    }

    void submitShortTasks()
    {
        constexpr std::size_t waitingCount = 40;
        for (; shortTaskCount_ - startedShortTasks_ < waitingCount; ++shortTaskCount_)
            submit("short" + std::to_string(shortTaskCount_), makeStep(1, 4000, shortTime(shortTaskCount_)));
    }

    static std::uint32_t shortTime(std::size_t number) { return 1000 + 100 * (number % 11); }

    void poll(const std::string& worker)
    {
        if (const auto found = lost_.find(worker); found != lost_.end()) {
            Poll& next = found->second;
            if (now < next.at)
                return;
            if (next.isPlanned) {
                const bool isResponsive = scheduler.planPoll(worker, now, true).isWorkerResponsive;
                next
                    = { now + callTimeout + (isResponsive ? pollWait : std::chrono::milliseconds(0)), false };
            } else {
                scheduler.onPollFailed(worker);
                next = { now + pollPause, true };
            }
            return;
        }
        Ports::WorkerReport content;
        std::erase_if(running, [&](const Fleet::AttemptStart& run) {
            if (run.worker != worker)
                return false;
            const auto end = shortEnds_.find({ run.task, run.attempt });
            if (end != shortEnds_.end() && now >= end->second) {
                content.ended.push_back(
                    { ++lastEndNumbers[worker], run.task, run.attempt, Ports::AttemptOutcome::Done, {} });
                return true;
            }
            content.running.push_back({ run.task, run.attempt, {}, 100, 0 });
            return false;
        });
        scheduler.planPoll(worker, now, true);
        report(worker, content);
    }

    void answerStarts()
    {
        for (; confirmedStarts < output.starts.size(); ++confirmedStarts) {
            const Fleet::AttemptStart start = output.starts[confirmedStarts];
            const bool isChecked = start.checkLimit != Utils::Duration::zero();
            if (lost_.contains(start.worker) || (isChecked && failsChecks)) {
                failing_.push_back({ start, now + (isChecked ? start.checkLimit : callTimeout) });
                continue;
            }
            if (isShort(start.task)) {
                ++startedShortTasks_;
                shortEnds_[{ start.task, start.attempt }]
                    = now + std::chrono::milliseconds(shortTime(std::stoul(start.task.job.substr(5))));
            }
            Ports::CommandReply reply;
            reply.clockMs
                = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
            running.push_back(start);
            scheduler.onStartReply(start.worker, start.task, start.attempt, reply, now);
        }
    }

    void failStarts()
    {
        std::erase_if(failing_, [this](const FailingStart& failing) {
            if (now < failing.at)
                return false;
            const bool isChecked = failing.start.checkLimit != Utils::Duration::zero();
            const auto code = isChecked ? Utils::ErrorCode::Unavailable : Utils::ErrorCode::OutcomeUnknown;
            scheduler.onStartReply(failing.start.worker, failing.start.task, failing.start.attempt,
                Utils::Error { code, "start", failing.start.worker, "no answer" }, now);
            return true;
        });
    }

    void answerStops()
    {
        for (; answeredStops_ < output.stops.size(); ++answeredStops_) {
            const RecordingOutput::Command stop = output.stops[answeredStops_];
            if (lost_.contains(stop.worker))
                continue;
            std::erase_if(running, [&](const Fleet::AttemptStart& run) {
                return run.worker == stop.worker && run.task == stop.task && run.attempt == stop.number;
            });
            scheduler.onStopReply(stop.worker, stop.task, stop.number, Ports::CommandReply {}, now);
        }
    }

    std::map<std::string, Poll> lost_; //!< Next event of the polls, by lost worker.
    std::vector<FailingStart> failing_;
    std::map<std::pair<Ports::TaskKey, std::uint32_t>, Utils::TimePoint> shortEnds_;
    std::size_t shortTaskCount_ = 0;
    std::size_t startedShortTasks_ = 0;
    std::size_t answeredStops_ = 0;
};

} // namespace Testing
