#pragma once

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

namespace Testing {

/*! A shard that has lost all its workers while tasks of a job were running, and another one with capacity. */
struct TransferFixture {
    explicit TransferFixture(const std::vector<FleetSchema::StepSpec>& steps)
    {
        origin.output.shardWithCapacity = "host";
        origin.scheduler.submit(makeJob("job", steps), 1, origin.now, testStartUnixMs);
        origin.scheduleAndCommit();
        origin.confirmStarts();
        origin.finishAll(Ports::AttemptOutcome::Stopped);
        origin.scheduler.setWorkers({}, origin.now);
        origin.scheduleAndCommit();
    }

    /*! Lets time pass in both shards. */
    void advance(Utils::Duration duration)
    {
        const Utils::TimePoint end = origin.now + duration;
        while (origin.now < end) {
            for (SchedulerFixture* shard : { &origin, &host }) {
                shard->now += std::chrono::milliseconds(100);
                shard->finishAttempts(0, Ports::AttemptOutcome::Done);
                shard->scheduler.onTick(shard->now, testStartUnixMs);
                shard->scheduleAndCommit();
                shard->confirmStarts();
            }
            deliver();
        }
    }

    /*! Carries calls between the shards and their answers. */
    void deliver()
    {
        for (; sentDelegations < origin.output.delegations.size(); ++sentDelegations) {
            const FleetSchema::TaskTransfer& transfer = origin.output.delegations[sentDelegations];
            host.scheduler.acceptDelegatedTask(transfer, ++lastTicket, host.now);
            host.scheduleAndCommit();
            host.confirmStarts();
            if (isAnswered(host))
                origin.scheduler.onDelegationStored(transfer, "host");
        }
        for (; sentResults < host.output.results.size(); ++sentResults) {
            const FleetSchema::TaskResult& result = host.output.results[sentResults].second;
            CHECK(host.output.results[sentResults].first == "shard");
            origin.scheduler.acceptTaskResult(result, ++lastTicket, origin.now, testStartUnixMs);
            origin.scheduleAndCommit();
            origin.confirmStarts();
            if (isAnswered(origin))
                host.scheduler.onTaskResultStored(result, testStartUnixMs);
        }
    }

    bool isAnswered(const SchedulerFixture& shard) const
    {
        return !shard.output.answers.empty() && shard.output.answers.back().first == lastTicket;
    }

    SchedulerFixture origin { 1 };
    SchedulerFixture host { 2 };
    std::size_t sentDelegations = 0;
    std::size_t sentResults = 0;
    std::uint64_t lastTicket = 10;
};

} // namespace Testing
