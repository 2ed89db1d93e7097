#include <placement/placementengine.h>

#include <benchmark/benchmark.h>

#include <deque>
#include <malloc.h>

using namespace Placement;

namespace {

constexpr std::size_t workersPerRack = 11;
constexpr std::size_t tasksPerWorker = 10;
constexpr std::size_t classCount = 20;

/*! A fleet that is kept full by ending and placing one task at a time. */
class FilledFleet {
public:
    explicit FilledFleet(std::size_t workers)
        : engine_(PlacementEngine::Parameters {})
    {
        const std::size_t bytesBefore = mallinfo2().uordblks;
        for (std::size_t number = 0; number < workers; ++number) {
            const std::size_t rack = number / workersPerRack;
            engine_.addWorker({ "worker" + std::to_string(number), "region",
                "domain" + std::to_string(rack % 22), "rack" + std::to_string(rack), { 64000, 250000, 1 } });
        }
        const std::size_t bytesWithoutTasks = mallinfo2().uordblks;
        for (std::size_t task = 0; task < workers * tasksPerWorker; ++task)
            place();
        const std::size_t bytesWithTasks = mallinfo2().uordblks;
        bytesPerWorker_ = static_cast<double>(bytesWithoutTasks - bytesBefore) / static_cast<double>(workers);
        bytesPerTask_
            = static_cast<double>(bytesWithTasks - bytesWithoutTasks) / static_cast<double>(running_.size());
    }

    /*! \return whether the task was placed. */
    bool place()
    {
        TaskRequest request;
        request.attempt = ++lastAttempt_;
        request.job = "job" + std::to_string(lastAttempt_ % 1000);
        request.team = "team" + std::to_string(lastAttempt_ % 80);
        request.taskClass = "class" + std::to_string(random_() % classCount);
        request.rank = 5;
        request.declaredSize = { static_cast<std::int64_t>(1000 + random_() % 7000),
            static_cast<std::int64_t>(2000 + random_() % 30000), 0 };
        request.declaredRunTime = std::chrono::minutes(5);
        const bool isPlaced = Utils::isOk(engine_.place(request, Utils::TimePoint {}, random_));
        if (isPlaced)
            running_.push_back(request.attempt);
        return isPlaced;
    }

    void endOldestTask()
    {
        engine_.onEnded(running_.front(), AttemptOutcome::Interrupted, Utils::TimePoint {});
        running_.pop_front();
    }

    double bytesPerWorker() const { return bytesPerWorker_; }
    double bytesPerTask() const { return bytesPerTask_; }
    double currentTasksPerWorker(std::size_t workers) const
    {
        return static_cast<double>(running_.size()) / static_cast<double>(workers);
    }

private:
    PlacementEngine engine_;
    std::mt19937_64 random_ { 1 };
    std::deque<AttemptId> running_;
    AttemptId lastAttempt_ = 0;
    double bytesPerWorker_ = 0;
    double bytesPerTask_ = 0;
};

/*! Ends one task and places one on a fleet with about ten tasks on each worker. */
void endAndPlace(benchmark::State& state)
{
    const auto workers = static_cast<std::size_t>(state.range(0));
    FilledFleet fleet(workers);
    std::size_t placed = 0;
    for (auto unused : state) {
        (void)unused;
        fleet.endOldestTask();
        placed += fleet.place() ? 1 : 0;
    }
    state.SetComplexityN(state.range(0));
    state.counters["placed"] = benchmark::Counter(static_cast<double>(placed), benchmark::Counter::kIsRate);
    state.counters["bytesPerWorker"] = fleet.bytesPerWorker();
    state.counters["bytesPerTask"] = fleet.bytesPerTask();
    state.counters["tasksPerWorker"] = fleet.currentTasksPerWorker(workers);
}

} // namespace

BENCHMARK(endAndPlace)->Arg(50)->Arg(500)->Arg(1000)->Arg(5000)->Arg(22000)->Complexity();

BENCHMARK_MAIN();
