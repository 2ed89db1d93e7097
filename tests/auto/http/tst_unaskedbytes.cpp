#include "scriptedpeer.h"

#include <http/blockingclient.h>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace {

using Testing::HeldLoop;
using Testing::responseWith;
using Testing::ScriptedPeer;

constexpr auto limit = std::chrono::seconds(5);

Http::Request requestFor(const std::string& target)
{
    Http::Request request;
    request.target = target;
    return request;
}

void checkBody(const Utils::Result<Http::Response>& result, const std::string& expected)
{
    REQUIRE(Utils::isOk(result));
    CHECK(Utils::value(result).body == expected);
}

} // namespace

TEST_CASE("Bytes that follow a response are not the response to the client's next request")
{
    const bool isAtOnce = GENERATE(true, false);
    CAPTURE(isAtOnce);
    HeldLoop loop;
    ScriptedPeer peer;
    Http::Client client(loop.context(), peer.endpoint(), 1);
    std::optional<Utils::Result<Http::Response>> result;
    const auto send = [&](const std::string& target) {
        result.reset();
        client.send(requestFor(target), limit,
            [&result](Utils::Result<Http::Response> received) { result = std::move(received); });
    };
    const auto hasResult = [&] { return result.has_value(); };
    send("/first");
    auto first = peer.accept();
    loop.runUntil([&] { return first.available() > 0; });
    CHECK(ScriptedPeer::readTarget(first) == "/first");
    ScriptedPeer::send(first, responseWith("first") + (isAtOnce ? responseWith("unasked") : ""));
    loop.runUntil(hasResult);
    checkBody(*result, "first");
    if (!isAtOnce)
        ScriptedPeer::send(first, responseWith("unasked"));
    send("/second");
    std::optional<ScriptedPeer::Socket> second;
    loop.runUntil([&] {
        if (!second)
            second = peer.acceptIfAny();
        return hasResult() || (second && second->available() > 0);
    });
    if (second)
        ScriptedPeer::send(*second, responseWith("second"));
    loop.runUntil(hasResult);
    checkBody(*result, "second");
}

TEST_CASE("A connection that the server closed between two requests is replaced")
{
    HeldLoop loop;
    ScriptedPeer peer;
    Http::Client client(loop.context(), peer.endpoint(), 1);
    std::optional<Utils::Result<Http::Response>> result;
    for (const std::string body : { "first", "second" }) {
        result.reset();
        client.send(requestFor("/"), limit,
            [&result](Utils::Result<Http::Response> received) { result = std::move(received); });
        std::optional<ScriptedPeer::Socket> socket;
        // The loop is not run between the server's close and the next request.
        loop.runUntil([&] {
            if (!socket)
                socket = peer.acceptIfAny();
            return result || (socket && socket->available() > 0);
        });
        if (socket)
            ScriptedPeer::send(*socket, responseWith(body));
        loop.runUntil([&] { return result.has_value(); });
        checkBody(*result, body);
    }
}

TEST_CASE("Bytes that follow a response are not the response to a blocking client's next request")
{
    const bool isAtOnce = GENERATE(true, false);
    CAPTURE(isAtOnce);
    ScriptedPeer peer;
    Http::BlockingClient client({ "127.0.0.1", peer.endpoint().port, limit });
    auto result = std::async(std::launch::async, [&] { return client.send(requestFor("/first")); });
    auto first = peer.accept();
    CHECK(ScriptedPeer::readTarget(first) == "/first");
    ScriptedPeer::send(first, responseWith("first") + (isAtOnce ? responseWith("unasked") : ""));
    checkBody(result.get(), "first");
    if (!isAtOnce)
        ScriptedPeer::send(first, responseWith("unasked"));
    result = std::async(std::launch::async, [&] { return client.send(requestFor("/second")); });
    std::optional<ScriptedPeer::Socket> second;
    while (!second && result.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready)
        second = peer.acceptIfAny();
    if (second) {
        CHECK(ScriptedPeer::readTarget(*second) == "/second");
        ScriptedPeer::send(*second, responseWith("second"));
    }
    checkBody(result.get(), "second");
}

TEST_CASE("The response to a blocking client's timed-out request is not that to its next request")
{
    ScriptedPeer peer;
    Http::BlockingClient client({ "127.0.0.1", peer.endpoint().port, std::chrono::milliseconds(500) });
    auto result = std::async(std::launch::async, [&] { return client.send(requestFor("/late")); });
    auto first = peer.accept();
    CHECK(ScriptedPeer::readTarget(first) == "/late");
    const auto timedOut = result.get();
    REQUIRE_FALSE(Utils::isOk(timedOut));
    CHECK(Utils::error(timedOut).code == Utils::ErrorCode::OutcomeUnknown);
    ScriptedPeer::send(first, responseWith("late"));
    result = std::async(std::launch::async, [&] { return client.send(requestFor("/next")); });
    auto next = peer.accept();
    CHECK(ScriptedPeer::readTarget(next) == "/next");
    ScriptedPeer::send(next, responseWith("next"));
    checkBody(result.get(), "next");
}
