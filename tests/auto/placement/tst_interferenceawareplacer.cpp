#include <placement/interferenceawareplacer.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using Placement::InterferenceAwarePlacer;

namespace {

const Utils::TimePoint start { 1000s };

Schema::JobSpec makeSpec(Schema::JobKind kind, const char* priority, double processors)
{
    Schema::JobSpec job;
    job.set_kind(kind);
    job.set_task_class(kind == Schema::SERVICE ? "rounds" : "model");
    job.set_priority_class(priority);
    job.mutable_size()->set_processors(processors);
    job.mutable_size()->set_memory_mb(1000);
    job.set_checkpointable(true);
    return job;
}

Schema::AttemptRef makeAttempt(std::uint32_t task)
{
    Schema::AttemptRef ref;
    ref.set_job("job");
    ref.set_task(task);
    return ref;
}

Batch::AvailableWorker makeWorker(const char* name, double free)
{
    Batch::AvailableWorker worker { name, "north", "a", "r1", {}, {} };
    worker.capacity.set_processors(32);
    worker.capacity.set_memory_mb(125000);
    worker.free.set_processors(free);
    worker.free.set_memory_mb(100000);
    return worker;
}

InterferenceAwarePlacer::Parameters parameters()
{
    InterferenceAwarePlacer::Parameters chosen;
    chosen.ranksByClass["urgent"] = 0;
    return chosen;
}

} // namespace

TEST_CASE("Choices stay within the given free capacity, also when running tasks are discovered later")
{
    InterferenceAwarePlacer placer(parameters());
    const Schema::JobSpec model = makeSpec(Schema::BATCH, "night", 4);
    std::vector<Batch::PendingTask> tasks;
    for (std::uint32_t task = 0; task < 20; ++task)
        tasks.push_back({ makeAttempt(task), &model, start, Utils::TimePoint::max() });
    const std::vector<Batch::AvailableWorker> workers { makeWorker("w1", 9), makeWorker("w2", 32) };
    const auto choices = placer.place(tasks, workers, {}, start);
    CHECK(std::ranges::count(choices, 0U, &Batch::PlacementDecision::worker) <= 2);
    CHECK(std::ranges::count(choices, 1U, &Batch::PlacementDecision::worker) == 6);
    std::vector<Batch::RunningTask> running;
    for (std::uint32_t task = 100; task < 106; ++task)
        running.push_back({ makeAttempt(task), &model, "w2", 0, start });
    const auto later = placer.place(tasks, { workers.data() + 1, 1 }, running, start + 1s);
    CHECK(later.empty());
}

TEST_CASE("A slowed down service causes throttling of colocated batch tasks")
{
    InterferenceAwarePlacer placer(parameters());
    const Schema::JobSpec model = makeSpec(Schema::BATCH, "night", 4);
    const Schema::JobSpec rounds = makeSpec(Schema::SERVICE, "lunch", 4);
    const std::vector<Batch::AvailableWorker> workers { makeWorker("w1", 24) };
    const std::vector<Batch::RunningTask> running { { makeAttempt(1), &model, "w1", 0, start },
        { makeAttempt(2), &rounds, "w1", 0, start } };
    placer.place({}, workers, running, start);
    Schema::UsageSample sample;
    sample.set_age_ms(30000);
    sample.set_task_class("rounds");
    sample.set_processors(4);
    sample.set_slowdown(3);
    placer.onUsageSample("w1", sample, start + 60s);
    const auto orders = placer.preempt(running, workers, start + 60s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].attempt.task() == 1);
    CHECK(orders[0].action == Batch::PreemptionAction::Throttle);
    CHECK(orders[0].share < 1);
}

TEST_CASE("Urgent work without free capacity evicts less urgent tasks, each once")
{
    InterferenceAwarePlacer placer(parameters());
    const Schema::JobSpec model = makeSpec(Schema::BATCH, "night", 12);
    const Schema::JobSpec urgent = makeSpec(Schema::BATCH, "urgent", 10);
    const std::vector<Batch::AvailableWorker> workers { makeWorker("w1", 8) };
    const std::vector<Batch::RunningTask> running { { makeAttempt(1), &model, "w1", 0, start },
        { makeAttempt(2), &model, "w1", 0, start } };
    const std::vector<Batch::PendingTask> tasks { { makeAttempt(9), &urgent, start,
        Utils::TimePoint::max() } };
    CHECK(placer.place(tasks, workers, running, start).empty());
    const auto orders = placer.preempt(running, workers, start);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].action == Batch::PreemptionAction::Checkpoint);
    CHECK(placer.preempt(running, workers, start + 1s).empty());
}
