#include <configuration/configurationcache.h>
#include <configuration/configurationstore.h>
#include <platform/memorytable.h>
#include <propertyparameters.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <thread>

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=607 max_success=300 max_size=60");

constexpr int operatorCount = 20;

using Configuration::ChangeConflict;
using Configuration::ChangeOutcome;
using Configuration::ConfigurationChange;
using Configuration::ConfigurationStore;

ConfigurationChange makeChange(std::uint64_t base, const std::string& writeId, int rank)
{
    return { "[priority_class a]\nguaranteed_percent = 1\nrank = " + std::to_string(rank) + "\n", base,
        "author of " + writeId, 1, writeId };
}

// A table whose commits fail before or after they take effect, as planned by the test.
class FaultyTable final : public Platform::TableService {
public:
    enum class Fault {
        None,
        Refused, //!< Not sent.
        RequestLost, //!< Has no effect; the outcome is unknown.
        ReplyLost, //!< Takes effect; the outcome is unknown.
        Delayed, //!< May take effect at the next commitDelayed(); the outcome is unknown.
    };

    std::vector<Fault> plannedFaults; // One fault per commit, consumed from the back.
    std::function<void()> afterCommit; // Called once, after a commit that took effect.
    bool isDown = false;

    Utils::Result<Schema::Row> get(std::string_view key) override
    {
        if (isDown)
            return Utils::Error { Utils::ErrorCode::Unavailable, "table.get", "test", "down" };
        return table.get(key);
    }

    Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t limit) override
    {
        return table.scan(prefix, after, limit);
    }

    Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) override
    {
        const Fault fault = plannedFaults.empty() ? Fault::None : plannedFaults.back();
        if (!plannedFaults.empty())
            plannedFaults.pop_back();
        if (fault == Fault::Refused)
            return Utils::Error { Utils::ErrorCode::Unavailable, "table.commit", "test", "refused" };
        const Utils::Error lostError { Utils::ErrorCode::OutcomeUnknown, "table.commit", "test", "lost" };
        if (fault == Fault::Delayed)
            delayedCommits_.push_back(request);
        if (fault == Fault::RequestLost || fault == Fault::Delayed)
            return lostError;
        auto reply = table.commit(request);
        if (afterCommit && Utils::value(reply).committed())
            std::exchange(afterCommit, {})();
        if (fault == Fault::ReplyLost)
            return lostError;
        return reply;
    }

    void commitDelayed()
    {
        for (const Schema::CommitRequest& request : std::exchange(delayedCommits_, {}))
            table.commit(request);
    }

    Platform::MemoryTable table;

private:
    std::vector<Schema::CommitRequest> delayedCommits_;
};

bool isAccepted(const Utils::Result<ChangeOutcome>& outcome)
{
    return Utils::isOk(outcome)
        && std::holds_alternative<Schema::AcceptedConfiguration>(Utils::value(outcome));
}

const ChangeConflict* conflictOf(const Utils::Result<ChangeOutcome>& outcome)
{
    return Utils::isOk(outcome) ? std::get_if<ChangeConflict>(&Utils::value(outcome)) : nullptr;
}

// Write ids with a reported outcome and the reported revision; revision 0 for rejected changes.
using ReportedOutcomes = std::vector<std::pair<std::string, std::uint64_t>>;

void putAndRecordOutcome(const ConfigurationStore& store, std::uint64_t base, const std::string& writeId,
    ReportedOutcomes& reportedOutcomes)
{
    const auto outcome = store.put(makeChange(base, writeId, static_cast<int>(base % 100)));
    if (isAccepted(outcome))
        reportedOutcomes.emplace_back(
            writeId, std::get<Schema::AcceptedConfiguration>(Utils::value(outcome)).revision());
    else if (conflictOf(outcome))
        reportedOutcomes.emplace_back(writeId, 0);
}

} // namespace

TEST_CASE("A conflict reports the accepted and the requested changes")
{
    Platform::MemoryTable table;
    const ConfigurationStore store(table);
    CHECK(Utils::value(store.load()).revision() == 0);
    REQUIRE(isAccepted(store.put(makeChange(0, "first", 1))));
    REQUIRE(isAccepted(store.put(makeChange(1, "second", 2))));
    const auto conflictingOutcome = store.put(makeChange(1, "late", 3));
    const ChangeConflict* conflict = conflictOf(conflictingOutcome);
    REQUIRE(conflict);
    CHECK(conflict->inForce.revision() == 2);
    REQUIRE(conflict->changedSinceBase.size() == 1);
    CHECK(
        conflict->changedSinceBase[0] == Configuration::Difference { "priority_class a", "rank", "1", "2" });
    REQUIRE(conflict->requestedChanges.size() == 1);
    CHECK(conflict->requestedChanges[0].after == "3");
    CHECK(conflictOf(store.put(makeChange(7, "ahead", 3))));
}

TEST_CASE("An invalid change is not written to the table")
{
    Platform::MemoryTable table;
    const auto outcome = ConfigurationStore(table).put({ "[nothing]\n", 0, "a", 1, "w" });
    CHECK(std::holds_alternative<std::vector<Settings::Fault>>(Utils::value(outcome)));
    CHECK(table.commitCount() == 0);
}

TEST_CASE("A lost reply is resolved even if another change has been accepted since")
{
    FaultyTable table;
    const ConfigurationStore store(table);
    const ConfigurationStore otherStore(table.table);
    table.plannedFaults = { FaultyTable::Fault::ReplyLost };
    table.afterCommit = [&] { REQUIRE(isAccepted(otherStore.put(makeChange(1, "other", 2)))); };
    const auto outcome = store.put(makeChange(0, "mine", 1));
    REQUIRE(isAccepted(outcome));
    CHECK(std::get<Schema::AcceptedConfiguration>(Utils::value(outcome)).revision() == 1);
    CHECK(Utils::value(store.load()).write_id() == "other");
    CHECK(isAccepted(store.put(makeChange(0, "mine", 1))));
    CHECK(Utils::value(store.history(0, 10)).size() == 2);
}

TEST_CASE("An outage is an error, with an unknown outcome only if a write may have taken effect")
{
    FaultyTable table;
    const ConfigurationStore store(table);
    table.plannedFaults.assign(9, FaultyTable::Fault::Refused);
    CHECK(Utils::error(store.put(makeChange(0, "a", 1))).code == Utils::ErrorCode::Unavailable);
    table.plannedFaults.assign(9, FaultyTable::Fault::RequestLost);
    CHECK(Utils::error(store.put(makeChange(0, "a", 1))).code == Utils::ErrorCode::OutcomeUnknown);
    table.isDown = true;
    CHECK(Utils::error(store.put(makeChange(0, "a", 1))).code == Utils::ErrorCode::Unavailable);
}

TEST_CASE("The history is returned in pages, newest first")
{
    Platform::MemoryTable table;
    const ConfigurationStore store(table);
    for (int i = 0; i < 5; ++i)
        REQUIRE(isAccepted(store.put(makeChange(i, std::to_string(i), i))));
    const auto page = Utils::value(store.history(4, 2));
    REQUIRE(page.size() == 2);
    CHECK(page[0].revision() == 3);
    CHECK(page[1].revision() == 2);
    CHECK(Utils::value(store.revision(5)).write_id() == "4");
    CHECK(Utils::error(store.revision(6)).code == Utils::ErrorCode::NotFound);
}

TEST_CASE("Of concurrent changes to the same revision exactly one is accepted")
{
    Platform::MemoryTable table;
    const ConfigurationStore store(table);
    std::vector<std::thread> operatorThreads;
    operatorThreads.reserve(operatorCount);
    std::vector<Utils::Result<ChangeOutcome>> outcomes(operatorCount);
    for (int i = 0; i < operatorCount; ++i) {
        operatorThreads.emplace_back(
            [&, i] { outcomes[i] = store.put(makeChange(0, "op" + std::to_string(i), i)); });
    }
    for (std::thread& thread : operatorThreads)
        thread.join();
    CHECK(std::count_if(outcomes.begin(), outcomes.end(), isAccepted) == 1);
    CHECK(std::count_if(outcomes.begin(), outcomes.end(), [](const auto& outcome) {
        return conflictOf(outcome) != nullptr;
    }) == operatorCount - 1);
}

// Interleaves changes of several operators with lost requests and replies, while caches poll the table and
// each other as processes do. No accepted change may be lost or accepted twice, and no cache may return to an
// older revision.
TEST_CASE("Every accepted change is one revision of the history, regardless of lost messages")
{
    CHECK(rc::check([] {
        using Fault = FaultyTable::Fault;
        FaultyTable table;
        const ConfigurationStore store(table);
        const ConfigurationStore reliableStore(table.table);
        ReportedOutcomes reportedOutcomes;
        std::array<Configuration::ConfigurationCache, 3> caches { Configuration::ConfigurationCache(1),
            Configuration::ConfigurationCache(1), Configuration::ConfigurationCache(1) };
        std::array<std::uint64_t, 3> bases {};
        const auto randomSteps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (std::size_t i = 0; i < randomSteps.size(); ++i) {
            const int step = randomSteps[i];
            const std::size_t processIndex = step % 3;
            table.plannedFaults = { static_cast<Fault>(step / 3 % 5), static_cast<Fault>(step / 15 % 5),
                static_cast<Fault>(step / 75 % 5) };
            if (step % 7 < 3)
                table.afterCommit = [&, i] {
                    putAndRecordOutcome(
                        reliableStore, bases[processIndex] + 1, "late" + std::to_string(i), reportedOutcomes);
                };
            const std::string writeId = "w" + std::to_string(i);
            putAndRecordOutcome(store, bases[processIndex], writeId, reportedOutcomes);
            table.afterCommit = {};
            if (step % 11 < 5)
                table.commitDelayed();
            if (step % 2 == 0)
                bases[processIndex] = Utils::value(store.load()).revision();
            const std::uint64_t revisionBefore = caches[processIndex].revision();
            if (step % 5 == 0)
                caches[processIndex].offer(Utils::value(store.load()));
            else if (const auto peer = caches[(processIndex + 1) % 3].current())
                caches[processIndex].offer(peer->accepted);
            RC_ASSERT(caches[processIndex].revision() >= revisionBefore);
        }
        std::map<std::string, std::uint64_t> history;
        for (const auto& entry : Utils::value(store.history(0, 10000)))
            RC_ASSERT(history.emplace(entry.write_id(), entry.revision()).second);
        for (const auto& [writeId, revision] : reportedOutcomes)
            RC_ASSERT((history.contains(writeId) ? history.at(writeId) : 0) == revision);
        RC_ASSERT(Utils::value(store.load()).revision() == history.size());
    }));
}
