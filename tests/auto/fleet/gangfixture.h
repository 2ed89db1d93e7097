#pragma once

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

namespace Testing {

/*! Three shards, in the first of which a gang of 8 tasks has been submitted, two of which fit on a worker. */
struct GangFixture {
    /*! \param originWorkers number of workers of the first shard when the gang is submitted. */
    explicit GangFixture(std::size_t originWorkers)
    {
        addShard("origin", originWorkers);
        addShard("host1", 2);
        addShard("host2", 2);
        origin().output.gangShares = { { "origin", 2 }, { "host1", 3 }, { "host2", 3 } };
        FleetSchema::StepSpec step = makeStep(8, 12'000, 500);
        step.set_gang(true);
        spec = makeJob("job", { step });
        origin().scheduler.submit(spec, 1, origin().now, testStartUnixMs);
        origin().scheduleAndCommit();
        origin().confirmStarts();
    }

    void addShard(const std::string& name, std::size_t workers)
    {
        shards[name] = std::make_unique<SchedulerFixture>(workers, Utils::Duration::max(), name);
    }

    SchedulerFixture& origin() { return *shards["origin"]; }

    /*! Ends the run of the gang in the first shard, of whose workers only the first two stay. */
    void loseWorkers()
    {
        origin().finishAll(Ports::AttemptOutcome::GangBroken);
        origin().scheduler.setWorkers({ makeWorkerInfo("w0"), makeWorkerInfo("w1") }, origin().now);
    }

    /*! Replaces the owner of a shard by one that knows what is stored. */
    void changeOwner(const std::string& name)
    {
        const auto former = std::move(shards[name]);
        addShard(name, 2);
        SchedulerFixture& successor = *shards[name];
        successor.rows = former->rows;
        successor.now = former->now;
        successor.running = former->running;
        successor.output.gangShares = former->output.gangShares;
        for (const auto& [key, value] : successor.rows) {
            FleetSchema::JobRecord record;
            REQUIRE(record.ParseFromString(value));
            successor.scheduler.restore(record, successor.now, testStartUnixMs);
        }
        for (const std::string& worker : successor.workers)
            successor.report(worker, {});
        delivered[name] = {};
    }

    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = origin().now + duration; origin().now < end;) {
            for (auto& [name, shard] : shards) {
                shard->now += std::chrono::milliseconds(100);
                shard->finishAttempts(0, Ports::AttemptOutcome::Done);
                shard->scheduler.onTick(shard->now, testStartUnixMs);
                shard->scheduleAndCommit();
                shard->confirmStarts();
            }
            for (auto& [name, shard] : shards)
                deliver(name, *shard);
        }
    }

    /*! Carries the calls of a shard to others and their answers back. */
    void deliver(const std::string& name, SchedulerFixture& from)
    {
        Delivered& count = delivered[name];
        for (; count.delegations < from.output.delegations.size(); ++count.delegations) {
            const FleetSchema::TaskTransfer transfer = from.output.delegations[count.delegations];
            const std::string target = from.output.hostShards[count.delegations];
            shards[target]->scheduler.acceptDelegatedTask(transfer, ++lastTicket, from.now);
            if (isStored(*shards[target]))
                from.scheduler.onDelegationStored(transfer, target);
        }
        for (; count.results < from.output.results.size(); ++count.results) {
            const FleetSchema::TaskResult result = from.output.results[count.results].second;
            origin().scheduler.acceptTaskResult(result, ++lastTicket, from.now, testStartUnixMs);
            if (isStored(origin()))
                from.scheduler.onTaskResultStored(result, testStartUnixMs);
        }
        for (; count.cancels < from.output.delegationCancels.size(); ++count.cancels) {
            const std::string target = from.output.delegationCancels[count.cancels].first;
            shards[target]->scheduler.cancelHostedTasks(spec, ++lastTicket, from.now, testStartUnixMs);
            if (isStored(*shards[target]))
                from.scheduler.onDelegatedTasksCancelled(spec.id(), target);
        }
        for (; count.originQueries < from.output.originQueries.size(); ++count.originQueries) {
            const std::string& job = from.output.originQueries[count.originQueries].second;
            if (const auto state = origin().scheduler.state(job))
                from.scheduler.onOriginState(job, *state, testStartUnixMs);
        }
        for (; count.readyParts < from.output.readyParts.size(); ++count.readyParts) {
            const FleetSchema::GangPart part = from.output.readyParts[count.readyParts];
            if (carriesReady)
                from.scheduler.onPartReadyAnswered(
                    part, origin().scheduler.acceptPartReady(part, from.now), from.now);
        }
        for (; count.starts < from.output.partStarts.size(); ++count.starts) {
            const auto& [target, part] = from.output.partStarts[count.starts];
            if (carriesStarts)
                from.scheduler.onPartStartAnswered(
                    part, shards[target]->scheduler.acceptPartStart(part, from.now));
        }
    }

    bool isStored(SchedulerFixture& shard) const
    {
        shard.scheduleAndCommit();
        return !shard.output.answers.empty() && shard.output.answers.back().first == lastTicket;
    }

    /*! \return the attempts that run in each shard. */
    std::vector<std::size_t> countRunning()
    {
        std::vector<std::size_t> counts;
        for (const char* name : { "origin", "host1", "host2" }) {
            shards[name]->confirmStarts();
            counts.push_back(shards[name]->running.size());
        }
        return counts;
    }

    /*! \return the numbers of the attempts that run. */
    std::set<std::uint32_t> runningAttempts() const
    {
        std::set<std::uint32_t> numbers;
        for (const auto& [name, shard] : shards) {
            for (const Fleet::AttemptStart& attempt : shard->running)
                numbers.insert(attempt.attempt);
        }
        return numbers;
    }

    /*! \return the milli-processors committed in each shard. */
    std::vector<std::int64_t> committed()
    {
        std::vector<std::int64_t> sizes;
        for (const char* name : { "origin", "host1", "host2" })
            sizes.push_back(shards[name]->scheduler.load(shards[name]->now).committed());
        return sizes;
    }

    /*! Numbers of calls that were carried. */
    struct Delivered {
        std::size_t delegations = 0;
        std::size_t results = 0;
        std::size_t cancels = 0;
        std::size_t originQueries = 0;
        std::size_t readyParts = 0;
        std::size_t starts = 0;
    };

    FleetSchema::JobSpec spec;
    std::map<std::string, std::unique_ptr<SchedulerFixture>> shards;
    std::map<std::string, Delivered> delivered;
    bool carriesReady = true; //!< Whether news of ready parts arrive.
    bool carriesStarts = true; //!< Whether calls to start parts arrive.
    std::uint64_t lastTicket = 10;
};

} // namespace Testing
