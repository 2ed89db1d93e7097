#include <placement/capacityledger.h>

#include <propertyparameters.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <map>

namespace {

using Placement::CapacityLedger;
using Placement::Resources;

const bool parametersSet = Testing::setPropertyParameters("seed=20 max_success=400 max_size=80");

/*! Recomputes every sum from a plain list of commitments. */
class ReferenceLedger {
public:
    std::vector<Resources> capacities;
    std::map<std::uint64_t, CapacityLedger::Commitment> commitments;

    Resources sum(Placement::WorkerIndex worker) const
    {
        Resources total;
        for (const auto& [attempt, commitment] : commitments) {
            if (commitment.worker == worker)
                total += commitment.size;
        }
        return total;
    }

    bool commit(std::uint64_t attempt, Placement::WorkerIndex worker, const Resources& size)
    {
        const auto found = commitments.find(attempt);
        if (found != commitments.end())
            return found->second.worker == worker && found->second.size == size;
        const Resources after = sum(worker) + size;
        const Resources& limit = capacities[worker];
        if (size.milliProcessors < 0 || size.memoryMb < 0 || size.accelerators < 0)
            return false;
        if (after.milliProcessors > limit.milliProcessors || after.memoryMb > limit.memoryMb)
            return false;
        if (after.accelerators > limit.accelerators)
            return false;
        commitments[attempt] = { worker, size };
        return true;
    }
};

using ReleaseFunction = std::function<bool(CapacityLedger&, std::uint64_t, bool isKnownEnded)>;

bool releaseOnKnownEnd(CapacityLedger& ledger, std::uint64_t attempt, bool isKnownEnded)
{
    return isKnownEnded && ledger.release(attempt).has_value();
}

// Deliberate fault: treats the request of an eviction as the end of the attempt.
bool releaseOnEvictionRequest(CapacityLedger& ledger, std::uint64_t attempt, bool isKnownEnded)
{
    (void)isKnownEnded;
    return ledger.release(attempt).has_value();
}

Resources arbitrarySize()
{
    return { *rc::gen::inRange<std::int64_t>(-1, 9), *rc::gen::inRange<std::int64_t>(-1, 9),
        *rc::gen::inRange<std::int64_t>(0, 3) };
}

void runRandomEvents(const ReleaseFunction& release)
{
    constexpr std::uint32_t workerCount = 3;
    constexpr std::uint64_t attemptCount = 12;
    CapacityLedger ledger;
    ReferenceLedger reference;
    for (std::uint32_t worker = 0; worker < workerCount; ++worker) {
        reference.capacities.push_back({ 10, 10, 2 });
        ledger.addWorker(reference.capacities.back());
    }
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        const auto attempt = *rc::gen::inRange<std::uint64_t>(0, attemptCount);
        const auto worker = *rc::gen::inRange<std::uint32_t>(0, workerCount);
        const int event = *rc::gen::inRange(0, 8);
        if (event < 5) {
            const Resources size = arbitrarySize();
            const bool isCommitted = Utils::isOk(ledger.commit(attempt, worker, size));
            RC_ASSERT(isCommitted == reference.commit(attempt, worker, size));
        } else if (event < 7) {
            const bool isKnownEnded = event == 6;
            release(ledger, attempt, isKnownEnded);
            if (isKnownEnded)
                reference.commitments.erase(attempt);
        } else {
            reference.capacities[worker] = { *rc::gen::inRange<std::int64_t>(0, 14),
                *rc::gen::inRange<std::int64_t>(0, 14), *rc::gen::inRange<std::int64_t>(0, 3) };
            ledger.setCapacity(worker, reference.capacities[worker]);
        }
        for (std::uint32_t each = 0; each < workerCount; ++each)
            RC_ASSERT(ledger.committed(each) == reference.sum(each));
    }
}

} // namespace

TEST_CASE("Commitments match the reference ledger and never exceed the capacity under random events")
{
    CHECK(rc::check([] { runRandomEvents(releaseOnKnownEnd); }));
}

TEST_CASE("The check detects a ledger that releases capacity before the end is known")
{
    CHECK_FALSE(rc::check([] { runRandomEvents(releaseOnEvictionRequest); }));
}
