#include <http/server.h>
#include <platform/tablestore.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace std::chrono_literals;

namespace {

// A table store whose service sends the same response to every request, or none at all.
struct ScriptedService {
    explicit ScriptedService(const std::optional<Http::Response>& answer)
        : server(io, {}, [this, answer](const Http::Request& request, const Http::Responder& respond) {
            requests.push_back(request);
            if (answer)
                respond(*answer);
            else
                heldResponders.push_back(respond);
        })
    {
        REQUIRE(Utils::isOk(server.start()));
        store.emplace(io, Http::Endpoint { "127.0.0.1", server.port() }, 200ms);
    }

    template <typename Result, typename Start> Utils::Result<Result> call(Start&& startCall)
    {
        std::optional<Utils::Result<Result>> result;
        startCall([&](const Utils::Result<Result>& value) {
            result = value;
            io.stop();
        });
        io.run_for(5s);
        REQUIRE(result);
        return *result;
    }

    boost::asio::io_context io { 1 };
    std::vector<Http::Request> requests;
    std::vector<Http::Responder> heldResponders;
    Http::Server server;
    std::optional<UsersPlatform::TableStore> store;
};

Ports::Transaction transaction()
{
    Ports::Transaction change;
    change.conditions.push_back({ { "my", "p7", "owner" }, 3 });
    change.puts.push_back({ { "my", "p7", "owner" }, "node-1" });
    return change;
}

} // namespace

TEST_CASE("A transaction is sent with its conditions, and its outcome is decoded")
{
    ScriptedService fixture(Http::Response { 200, {}, R"({"ver":412,"now_ms":5})" });
    const auto outcome = fixture.call<Ports::TransactionOutcome>(
        [&](auto handler) { fixture.store->commit(transaction(), handler); });
    REQUIRE(Utils::isOk(outcome));
    CHECK(Utils::value(outcome).isCommitted);
    CHECK(Utils::value(outcome).version == 412);
    CHECK(Utils::value(outcome).storeMs == 5);
    REQUIRE(fixture.requests.size() == 1);
    CHECK(fixture.requests[0].body.find(R"("ver":3)") != std::string::npos);
    CHECK(fixture.requests[0].body.find("bm9kZS0x") != std::string::npos);
}

TEST_CASE("The outcome of a failed condition contains the current rows")
{
    ScriptedService fixture(Http::Response { 412, {},
        R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x","ver":9}],"ver":10})" });
    const auto outcome = fixture.call<Ports::TransactionOutcome>(
        [&](auto handler) { fixture.store->commit(transaction(), handler); });
    REQUIRE(Utils::isOk(outcome));
    CHECK_FALSE(Utils::value(outcome).isCommitted);
    REQUIRE(Utils::value(outcome).current.size() == 1);
    CHECK(Utils::value(outcome).current[0].value == "node-1");
    CHECK(Utils::value(outcome).current[0].version == 9);
}

TEST_CASE("A refused transaction is distinguished from one without a response")
{
    ScriptedService busy(Http::Response { 503, {}, "{}" });
    const auto refused = busy.call<Ports::TransactionOutcome>(
        [&](auto handler) { busy.store->commit(transaction(), handler); });
    REQUIRE_FALSE(Utils::isOk(refused));
    CHECK(Utils::error(refused).code == Utils::ErrorCode::Refused);

    ScriptedService unresponsive(std::nullopt);
    const auto lost = unresponsive.call<Ports::TransactionOutcome>(
        [&](auto handler) { unresponsive.store->commit(transaction(), handler); });
    REQUIRE_FALSE(Utils::isOk(lost));
    CHECK(Utils::error(lost).code == Utils::ErrorCode::OutcomeUnknown);
}

TEST_CASE("A history that is no longer kept is reported as NotFound")
{
    ScriptedService fixture(Http::Response { 410, {}, "{}" });
    const auto page
        = fixture.call<Ports::RowPage>([&](auto handler) { fixture.store->follow("op", 5, 100ms, handler); });
    REQUIRE_FALSE(Utils::isOk(page));
    CHECK(Utils::error(page).code == Utils::ErrorCode::NotFound);
}

TEST_CASE("Reading a list does not wait for pending reads of single rows")
{
    ScriptedService fixture(std::nullopt);
    for (int number = 0; number < 50; ++number)
        fixture.store->read({ "job-index", "i0", "job", "", 1 }, [](const auto&) {});
    fixture.store->read({ "servers", "", "", "", 0 }, [](const auto&) {});
    fixture.io.run_for(100ms);
    const auto isListRequest = [](const Http::Request& request) {
        return request.target.find("table=servers") != std::string::npos;
    };
    CHECK(std::any_of(fixture.requests.begin(), fixture.requests.end(), isListRequest));
}

TEST_CASE("Odd rows of a page do not affect its other rows")
{
    const std::string large(200'000, 'A');
    const std::string rows
        = R"([7,null,[],{},{"table":"servers","part":"","key":"a","value":"%%%%","ver":4},)"
          R"({"table":"servers","part":"","key":"b","value":7,"ver":"5"},)"
          R"({"table":"servers","part":"","key":"c","value":")"
        + large + R"(","ver":6},{"table":"servers","part":"","key":"","value":"=","ver":1e400},)"
        + R"({"table":"servers","part":"","key":"d","value":"bm9kZS0x","ver":9}])";
    ScriptedService fixture(
        Http::Response { 200, {}, R"({"ver":412,"has_more":false,"rows":)" + rows + "}" });
    const auto result = fixture.call<Ports::RowPage>([&](auto handler) {
        fixture.store->read({ "servers", "", "", "", 0 }, handler);
    });
    REQUIRE(Utils::isOk(result));
    const Ports::RowPage& page = Utils::value(result);
    REQUIRE(page.rows.size() == 6);
    CHECK(page.version == 412);
    CHECK(page.rows[1].value.empty());
    CHECK(page.rows[2].version == 0);
    CHECK(page.rows[3].value.size() == 150'000);
    CHECK(page.rows[4].version == 0);
    CHECK(page.rows[5].name.key == "d");
    CHECK(page.rows[5].value == "node-1");
    CHECK(page.rows[5].version == 9);
}

TEST_CASE("A page that is nested too deeply or too large is an error")
{
    const std::string nested = "{\"rows\":" + std::string(500'000, '[') + std::string(500'000, ']') + "}";
    const std::string large = R"({"rows":[],"x":")" + std::string(17U << 20U, 'x') + "\"}";
    for (const std::string& body : { nested, large, std::string("\xff"), std::string("[]"), std::string() }) {
        ScriptedService fixture(Http::Response { 200, {}, body });
        const auto page = fixture.call<Ports::RowPage>([&](auto handler) {
            fixture.store->read({ "servers", "", "", "", 0 }, handler);
        });
        CHECK_FALSE(Utils::isOk(page));
    }
}
