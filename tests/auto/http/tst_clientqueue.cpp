#include "scriptedpeer.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace {

using Testing::HeldLoop;
using Testing::responseWith;
using Testing::ScriptedPeer;

constexpr auto shortLimit = std::chrono::milliseconds(100);
constexpr auto longLimit = std::chrono::seconds(20);

// A client with a single connection, which a request without a response occupies.
struct Fixture {
    explicit Fixture(Utils::Duration limit)
    {
        send("/occupying", limit);
        connection = peer.accept();
        loop.runUntil([&] { return connection->available() > 0; });
        CHECK(ScriptedPeer::readTarget(*connection) == "/occupying");
    }

    void send(const std::string& target, Utils::Duration limit) { sendWith(client, target, limit); }

    void sendWith(Http::Client& sender, const std::string& target, Utils::Duration limit)
    {
        Http::Request request;
        request.target = target;
        sender.send(std::move(request), limit, [this, target](Utils::Result<Http::Response> result) {
            ended.push_back(target);
            results.push_back(std::move(result));
        });
    }

    void runUntilEnded(std::size_t count)
    {
        loop.runUntil([&] { return ended.size() >= count; });
    }

    HeldLoop loop;
    ScriptedPeer peer;
    Http::Client client { loop.context(), peer.endpoint(), 1 };
    std::optional<ScriptedPeer::Socket> connection;
    std::vector<std::string> ended;
    std::vector<Utils::Result<Http::Response>> results;
};

void checkNotSent(const Utils::Result<Http::Response>& result)
{
    REQUIRE_FALSE(Utils::isOk(result));
    CHECK(Utils::error(result).code == Utils::ErrorCode::Unavailable);
}

} // namespace

TEST_CASE("A request that gets no connection within its time limit ends then and is never sent")
{
    Fixture fixture(3 * shortLimit);
    fixture.send("/a", shortLimit);
    fixture.send("/b", shortLimit);
    fixture.send("/in-time", longLimit);
    fixture.runUntilEnded(3);
    CHECK(fixture.ended == std::vector<std::string> { "/a", "/b", "/occupying" });
    checkNotSent(fixture.results.at(0));
    checkNotSent(fixture.results.at(1));
    REQUIRE_FALSE(Utils::isOk(fixture.results.at(2)));
    CHECK(Utils::error(fixture.results.at(2)).code == Utils::ErrorCode::OutcomeUnknown);
    // The next request that the server receives is the one whose time limit has not passed.
    auto next = fixture.peer.accept();
    fixture.loop.runUntil([&] { return next.available() > 0; });
    CHECK(ScriptedPeer::readTarget(next) == "/in-time");
    ScriptedPeer::send(next, responseWith("in time"));
    fixture.runUntilEnded(4);
    REQUIRE(Utils::isOk(fixture.results.at(3)));
    CHECK(Utils::value(fixture.results.at(3)).body == "in time");
}

TEST_CASE("The time limit of a request counts from its sending, not from its turn")
{
    Fixture fixture(2 * shortLimit);
    Http::Client other(fixture.loop.context(), fixture.peer.endpoint(), 1);
    fixture.send("/queued", 3 * shortLimit);
    fixture.sendWith(other, "/later", 4 * shortLimit);
    fixture.runUntilEnded(3);
    // Counted from its turn, the limit would end the queued request after 5 * shortLimit.
    CHECK(fixture.ended == std::vector<std::string> { "/occupying", "/queued", "/later" });
}

TEST_CASE("A request whose time limit passed while the event loop was held is not sent")
{
    Fixture fixture(longLimit);
    fixture.send("/stale", shortLimit);
    ScriptedPeer::send(*fixture.connection, responseWith("occupying"));
    std::this_thread::sleep_for(shortLimit);
    fixture.runUntilEnded(2);
    CHECK(fixture.ended == std::vector<std::string> { "/occupying", "/stale" });
    CHECK(Utils::isOk(fixture.results.at(0)));
    checkNotSent(fixture.results.at(1));
    fixture.loop.runHandlers(20);
    CHECK(fixture.connection->available() == 0);
    // The connection is still of use.
    fixture.send("/next", longLimit);
    fixture.loop.runUntil([&] { return fixture.connection->available() > 0; });
    CHECK(ScriptedPeer::readTarget(*fixture.connection) == "/next");
}

TEST_CASE("A request that must not be sent any more when it gets its connection is not sent")
{
    Fixture fixture(longLimit);
    bool maySend = true;
    std::size_t refused = 0;
    Http::Request request;
    request.target = "/queued";
    request.maySend = [&maySend] { return maySend; };
    fixture.client.send(std::move(request), longLimit, [&](const Utils::Result<Http::Response>& result) {
        checkNotSent(result);
        ++refused;
    });
    maySend = false;
    ScriptedPeer::send(*fixture.connection, responseWith("occupying"));
    fixture.loop.runUntil([&] { return refused == 1; });
    fixture.loop.runHandlers(20);
    boost::system::error_code errorCode;
    CHECK(fixture.connection->available(errorCode) == 0);
}

TEST_CASE("A client can be destroyed while requests wait for a connection")
{
    std::optional<Fixture> fixture(std::in_place, longLimit);
    std::size_t ended = 0;
    {
        Http::Client other(fixture->loop.context(), fixture->peer.endpoint(), 1);
        for (int i = 0; i < 3; ++i)
            other.send({}, shortLimit, [&ended](const Utils::Result<Http::Response>&) { ++ended; });
        std::this_thread::sleep_for(shortLimit);
    }
    fixture->loop.runHandlers(20);
    CHECK(ended == 0);
}
