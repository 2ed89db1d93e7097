#include "propertyparameters.h"

#include <platform/memorytable.h>
#include <requests/keyclaim.h>
#include <requests/keywritebatch.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace Requests;

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=47 max_success=500 max_size=100");

enum class Variant { Correct, TrustsLostWrite, IgnoresCondition, StealsClaim };

using Operations = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

struct Submission {
    KeyClaim claim;
    KeyStep step;
    bool isDone = false; // Answered or killed.
};

// Several entry VMs submit a request with the same key. Each operation executes one step of one submission,
// possibly with a fault.
class KeySimulation {
public:
    explicit KeySimulation(Variant variant)
        : variant_(variant)
    {
    }

    void apply(std::uint8_t kind, std::uint8_t value)
    {
        if (submissions_.empty() || kind % 16 == 0) {
            KeyClaim claim({ std::to_string(submissions_.size()), "vm", "digest" });
            submissions_.push_back({ claim, claim.start() });
            return;
        }
        if (kind % 16 == 1 && !delayedWrites_.empty()) {
            table_.commit(delayedWrites_.back());
            delayedWrites_.pop_back();
            return;
        }
        Submission& submission = submissions_[value % submissions_.size()];
        if (submission.isDone)
            return;
        if (kind % 16 == 2) {
            submission.isDone = true;
            return;
        }
        std::visit(
            [&](const auto& step) { handleStep(submission, step, kind / 16); }, KeyStep(submission.step));
    }

    int runs = 0;
    bool hasContradiction = false;

private:
    void handleStep(Submission& submission, const ReadKeyRow&, int fault)
    {
        if (fault == 0) {
            submission.step = submission.claim.onTableUnavailable();
            return;
        }
        Schema::Row row = Utils::value(table_.get("key"));
        Schema::KeyRecord record;
        record.ParseFromString(row.value());
        if (variant_ == Variant::StealsClaim && record.phase() == Schema::KEY_PHASE_CLAIMED) {
            record.set_phase(Schema::KEY_PHASE_NOT_RUN);
            row.set_value(record.SerializeAsString());
        }
        submission.step = submission.claim.onRowRead(row);
    }

    void handleStep(Submission& submission, const WriteKeyRow& write, int fault)
    {
        const Schema::CommitRequest request = commitRequestFor(write);
        if (fault <= 2) {
            if (fault == 0)
                table_.commit(request);
            if (fault == 1)
                delayedWrites_.push_back(request);
            submission.step = submission.claim.onWriteOutcomeUnknown();
            if (variant_ == Variant::TrustsLostWrite)
                submission.step = KeyGranted {};
            return;
        }
        const auto reply = Utils::value(table_.commit(request));
        submission.step = submission.claim.onWriteAnswered(reply.committed(), reply.version());
    }

    void handleStep(Submission& submission, const KeyGranted&, int fault)
    {
        submission.isDone = true;
        if (fault < 4) {
            checkAnswer(Outcome::NotRun);
            recordOutcome(submission, Outcome::NotRun, fault);
            return;
        }
        ++runs;
        const Outcome outcome = fault < 8 ? Outcome::Unknown : Outcome::Completed;
        checkAnswer(outcome);
        recordOutcome(submission, outcome, fault % 4);
    }

    void handleStep(Submission& submission, const KeyKnown& known, int)
    {
        submission.isDone = true;
        checkAnswer(known.outcome);
    }

    void handleStep(Submission& submission, const KeyInProgress&, int fault)
    {
        submission.isDone = fault < 8;
        submission.step = ReadKeyRow {};
    }

    void handleStep(Submission& submission, const auto&, int) { submission.isDone = true; }

    void recordOutcome(const Submission& submission, Outcome outcome, int fault)
    {
        const Schema::CommitRequest request = commitRequestFor(submission.claim.outcomeWrite(outcome, {}));
        if (fault == 1)
            delayedWrites_.push_back(request);
        else if (fault != 2)
            table_.commit(request);
    }

    void checkAnswer(Outcome outcome)
    {
        hasContradiction = hasContradiction || (outcome == Outcome::NotRun && runs > 0);
        hasContradiction = hasContradiction || (outcome == Outcome::Completed && runs == 0);
    }

    Schema::CommitRequest commitRequestFor(const WriteKeyRow& write)
    {
        KeyWriteBatch batch;
        batch.add({ "key", write.expectedVersion, write.record.SerializeAsString() });
        Schema::CommitRequest request = batch.commitRequest(std::to_string(++writeCount_));
        if (variant_ == Variant::IgnoresCondition)
            request.clear_conditions();
        return request;
    }

    Variant variant_;
    Platform::MemoryTable table_;
    std::vector<Submission> submissions_;
    std::vector<Schema::CommitRequest> delayedWrites_; // Unanswered writes that may take effect later.
    int writeCount_ = 0;
};

bool keepsInvariants(Variant variant, const Operations& operations)
{
    KeySimulation simulation(variant);
    for (const auto& [kind, value] : operations)
        simulation.apply(kind, value);
    return simulation.runs <= 1 && !simulation.hasContradiction;
}

bool findsViolation(Variant variant)
{
    std::mt19937 random(13);
    for (int run = 0; run < 3000; ++run) {
        Operations operations(80);
        for (auto& [kind, value] : operations) {
            kind = static_cast<std::uint8_t>(random());
            value = static_cast<std::uint8_t>(random());
        }
        if (!keepsInvariants(variant, operations))
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("A request with a key runs once and is answered correctly under any faults")
{
    const bool passed = rc::check(
        [](const Operations& operations) { RC_ASSERT(keepsInvariants(Variant::Correct, operations)); });
    CHECK(passed);
    CHECK_FALSE(findsViolation(Variant::Correct));
}

TEST_CASE("The check detects incorrect claims")
{
    CHECK(findsViolation(Variant::TrustsLostWrite));
    CHECK(findsViolation(Variant::IgnoresCondition));
    CHECK(findsViolation(Variant::StealsClaim));
}

TEST_CASE("Another request under the same key is rejected")
{
    Platform::MemoryTable table;
    KeyClaim first({ "1", "vm", "digest" });
    const auto write = std::get<WriteKeyRow>(first.onRowRead(Utils::value(table.get("key"))));
    KeyWriteBatch batch;
    batch.add({ "key", write.expectedVersion, write.record.SerializeAsString() });
    table.commit(batch.commitRequest("w"));
    KeyClaim second({ "2", "vm", "other digest" });
    CHECK(std::holds_alternative<KeyMismatch>(second.onRowRead(Utils::value(table.get("key")))));
}

TEST_CASE("A conflicting write does not delay the other writes of its batch")
{
    Platform::MemoryTable table;
    KeyWriteBatch other;
    other.add({ "b", 0, "taken" });
    table.commit(other.commitRequest("w0"));
    KeyWriteBatch batch;
    for (const char* row : { "a", "b", "c" })
        batch.add({ row, 0, "mine" });
    CHECK(batch.add({ "a", 0, "again" }) == batch.size());
    const auto refused = Utils::value(table.commit(batch.commitRequest("w1")));
    REQUIRE_FALSE(refused.committed());
    CHECK(batch.exclude(refused.conflicting_key()) == 1);
    CHECK(Utils::value(table.commit(batch.commitRequest("w2"))).committed());
    CHECK(batch.isIncluded(0));
    CHECK_FALSE(batch.isIncluded(1));
    CHECK(Utils::value(table.get("b")).value() == "taken");
}
