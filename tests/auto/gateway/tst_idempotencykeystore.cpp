#include "scriptedbackend.h"

#include <gateway/idempotencykeystore.h>
#include <gateway/idempotencykeysweeper.h>
#include <gateway/servicegateway.h>
#include <http/headers.h>
#include <platform/memorytable.h>

#include <platform.pb.h>
#include <policy.pb.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace std::chrono_literals;

namespace {

enum class Fault { None, LoseReply, LoseWrite, Down };

// A table whose commits fail as configured; reads only fail with Fault::Down.
class FaultyTable final : public Platform::TableService {
public:
    Utils::Result<Schema::Row> get(std::string_view key) override
    {
        if (fault == Fault::Down)
            return Utils::Error { Utils::ErrorCode::Unavailable, "table.get", "test", "down" };
        return table_.get(key);
    }
    Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t timeout) override
    {
        return table_.scan(prefix, after, timeout);
    }
    Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) override
    {
        // LoseReply and LoseWrite affect a single commit; nextFault applies from the next commit on.
        const Fault now = fault == Fault::LoseReply || fault == Fault::LoseWrite ? fault.exchange(nextFault)
                                                                                 : fault.load();
        if (now == Fault::Down)
            return Utils::Error { Utils::ErrorCode::Unavailable, "table.commit", "test", "down" };
        if (now == Fault::LoseWrite)
            return Utils::Error { Utils::ErrorCode::OutcomeUnknown, "table.commit", "test", "lost" };
        auto reply = table_.commit(request);
        if (now == Fault::LoseReply)
            return Utils::Error { Utils::ErrorCode::OutcomeUnknown, "table.commit", "test", "lost" };
        return reply;
    }

    std::atomic<Fault> fault = Fault::None;
    Fault nextFault = Fault::None;

private:
    Platform::MemoryTable table_;
};

std::future<Gateway::KeyClaimResult> claim(
    Gateway::IdempotencyKeyStore& keyStore, const std::string& key, Utils::Duration timeout = 20s)
{
    auto promise = std::make_shared<std::promise<Gateway::KeyClaimResult>>();
    keyStore.claim({ "rounds", key, "digest", std::chrono::steady_clock::now() + timeout },
        [promise](Gateway::KeyClaimResult claimResult) { promise->set_value(std::move(claimResult)); });
    return promise->get_future();
}

template <typename Step> bool isStep(const Gateway::KeyClaimResult& claimResult)
{
    return std::holds_alternative<Step>(claimResult.step);
}

std::string outcomeOf(const Http::Response& response)
{
    return std::string(Http::findHeader(response.headers, "Geraniumquay-Outcome").value_or(""));
}

} // namespace

TEST_CASE("Of concurrent claims at two entry VMs one is granted, and the other gets the recorded response")
{
    FaultyTable table;
    Gateway::IdempotencyKeyStore first(table, "entry-1");
    Gateway::IdempotencyKeyStore second(table, "entry-2");
    for (int round = 0; round < 30; ++round) {
        const std::string key = std::to_string(round);
        auto futures = std::array { claim(first, key), claim(second, key) };
        const auto granted = [&futures](std::size_t index) {
            return futures[index].wait_for(0s) == std::future_status::ready;
        };
        while (!granted(0) && !granted(1))
            std::this_thread::yield();
        const std::size_t winner = granted(0) ? 0 : 1;
        const Gateway::KeyClaimResult claimResult = futures[winner].get();
        REQUIRE(isStep<Requests::KeyGranted>(claimResult));
        (winner == 0 ? first : second)
            .recordOutcome(claimResult, Requests::Outcome::Completed,
                { 201, { { "Content-Type", "text/plain" } }, "receipt" });
        const Gateway::KeyClaimResult other = futures[1 - winner].get();
        REQUIRE(isStep<Requests::KeyKnown>(other));
        const Http::Response response = Gateway::keyClaimResponse(other.step);
        CHECK(response.status == 201);
        CHECK(response.body == "receipt");
        CHECK(outcomeOf(response) == "completed");
    }
}

TEST_CASE("The store recovers from a lost reply or write of a claim and of an outcome")
{
    FaultyTable table;
    Gateway::IdempotencyKeyStore keyStore(table, "entry-1");
    const Fault fault = GENERATE(Fault::LoseReply, Fault::LoseWrite);
    table.fault = fault;
    const Gateway::KeyClaimResult claimResult = claim(keyStore, "k").get();
    REQUIRE(isStep<Requests::KeyGranted>(claimResult));
    table.fault = fault;
    keyStore.recordOutcome(claimResult, Requests::Outcome::Completed, { 200, {}, "whole" });
    CHECK(isStep<Requests::KeyKnown>(claim(keyStore, "k").get()));
}

TEST_CASE("While the table is unavailable, a request with a key fails with the outcome unknown")
{
    FaultyTable table;
    Gateway::IdempotencyKeyStore keyStore(table, "entry-1");
    table.nextFault = Fault::Down;
    table.fault = Fault::LoseReply; // The claim is committed, then the table becomes unavailable.
    const Gateway::KeyClaimResult claimResult = claim(keyStore, "k").get();
    REQUIRE(isStep<Requests::KeyUnavailable>(claimResult));
    CHECK(outcomeOf(Gateway::keyClaimResponse(claimResult.step)) == "unknown");
    CHECK(isStep<Requests::KeyUnavailable>(claim(keyStore, "k").get()));
    table.fault = Fault::None;
    // The claim was committed but not granted; it is released once the table is available again.
    CHECK(isStep<Requests::KeyGranted>(claim(keyStore, "k").get()));
}

TEST_CASE("A key claimed by a killed process is not granted again")
{
    FaultyTable table;
    {
        Gateway::IdempotencyKeyStore killedStore(table, "entry-1");
        REQUIRE(isStep<Requests::KeyGranted>(claim(killedStore, "k").get()));
    }
    Gateway::IdempotencyKeyStore keyStore(table, "entry-2");
    const Gateway::KeyClaimResult claimResult = claim(keyStore, "k", 1ms).get();
    CHECK_FALSE(isStep<Requests::KeyGranted>(claimResult));
    CHECK(outcomeOf(Gateway::keyClaimResponse(claimResult.step)) == "unknown");
}

TEST_CASE("Key rows are deleted after the retention period")
{
    Platform::MemoryTable table;
    const auto put = [&table](const std::string& key, std::int64_t claimedMs) {
        Schema::KeyRecord record;
        record.set_claimed_unix_ms(claimedMs);
        Schema::CommitRequest request;
        request.set_write_id(key);
        request.add_puts()->set_key("request-keys/rounds/" + key);
        request.mutable_puts(0)->set_value(record.SerializeAsString());
        table.commit(request);
    };
    constexpr std::uint32_t expiredRowCount = Gateway::IdempotencyKeySweeper::rowsPerBatch + 10;
    for (std::uint32_t index = 0; index < expiredRowCount; ++index)
        put("old" + std::to_string(index), 1000);
    put("young", Gateway::IdempotencyKeySweeper::retentionMs);
    Gateway::IdempotencyKeySweeper sweeper;
    const std::int64_t time = Gateway::IdempotencyKeySweeper::retentionMs + 2000;
    CHECK(sweeper.sweepBatch(table, 1000) == 0);
    CHECK(sweeper.sweepBatch(table, 1000) == 0);
    CHECK(sweeper.sweepBatch(table, time) + sweeper.sweepBatch(table, time) == expiredRowCount);
    CHECK(Utils::value(table.scan("request-keys/", "", 10)).rows_size() == 1);
}

TEST_CASE("Concurrent requests with the same key at two entry VMs run once")
{
    FaultyTable table;
    Gateway::IdempotencyKeyStore keyStore(table, "entry-1");
    Testing::BackendScript script;
    script.response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    Testing::ScriptedBackend backend(script);
    Schema::PolicyDocument policy;
    policy.add_priority_class()->set_name("normal");
    policy.mutable_priority_class(0)->set_ceiling_percent(100);
    policy.mutable_priority_class(0)->set_max_queue_ms(500);
    policy.add_service()->set_name("rounds");
    Schema::VmEntry vm;
    vm.set_name("backend-1");
    vm.set_role(Schema::VM_ROLE_BACKEND);
    vm.set_address("127.0.0.1");
    vm.set_port(backend.port());
    vm.set_domain("a");
    vm.set_service("rounds");
    vm.set_slots(8);
    const Schema::VmEntry* const vms[] = { &vm };
    boost::asio::io_context context { 1 };
    Gateway::ServiceGateway gateways[]
        = { { context, { "entry-1", "a", "r" }, {}, 20s }, { context, { "entry-2", "a", "r" }, {}, 20s } };
    std::vector<std::promise<Http::Response>> responses(4);
    for (Gateway::ServiceGateway& gateway : gateways) {
        gateway.setIdempotencyKeyStore(keyStore);
        gateway.setPolicy(policy);
        gateway.setVms(vms);
    }
    const auto workGuard = boost::asio::make_work_guard(context);
    std::thread thread([&context] { context.run(); });
    for (std::size_t index = 0; index < responses.size(); ++index) {
        gateways[index % 2].handle(
            { "POST", "/services/rounds/charge", { { "Idempotency-Key", "k" } }, "7", "" },
            [&responses, index](
                Http::Response response) { responses[index].set_value(std::move(response)); });
    }
    for (auto& promise : responses) {
        const Http::Response response = promise.get_future().get();
        CHECK(outcomeOf(response) == "completed");
        CHECK(response.body == "whole");
    }
    CHECK(backend.executedRequests() == 1);
    context.stop();
    thread.join();
}
