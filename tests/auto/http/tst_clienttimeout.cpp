#include "scriptedpeer.h"

#include <http/headers.h>

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace {

using Testing::HeldLoop;
using Testing::responseWith;
using Testing::ScriptedPeer;

constexpr auto shortLimit = std::chrono::milliseconds(100);
constexpr auto longLimit = std::chrono::seconds(20);
constexpr std::size_t largeBodyBytes = 32U << 20U; // More than the buffers of both sockets hold.
constexpr std::size_t longHeaderBytes = 4U << 10U; // More than the client's first read takes.

using MaybeResult = std::optional<Utils::Result<Http::Response>>;

// A client with a single connection.
struct Fixture {
    // Lets the client open its connection.
    void openConnection()
    {
        MaybeResult result;
        send("/first", longLimit, result);
        connect();
        CHECK(ScriptedPeer::readTarget(*socket) == "/first");
        ScriptedPeer::send(*socket, responseWith("first"));
        loop.runUntil([&] { return result.has_value(); });
        REQUIRE(Utils::isOk(*result));
    }

    void send(
        const std::string& target, Utils::Duration limit, MaybeResult& result, std::size_t bodyBytes = 0)
    {
        Http::Request request;
        request.method = "POST";
        request.target = target;
        request.body = std::string(bodyBytes, 'x');
        client->send(std::move(request), limit,
            [&result](Utils::Result<Http::Response> received) { result = std::move(received); });
    }

    // Accepts the client's next connection, with everything that it can send without a response.
    void connect()
    {
        loop.runUntil([&] {
            if (auto accepted = peer.acceptIfAny())
                socket = std::move(accepted);
            return socket && socket->available() > 0;
        });
    }

    // Waits until the time limit has passed without running the client's event loop, then checks that the
    // exchange has failed and that the next one, which is queued, gets its own response.
    void checkNextAfterHold(MaybeResult& timedOut, MaybeResult& next)
    {
        std::this_thread::sleep_for(shortLimit);
        loop.runUntil([&] { return timedOut.has_value(); });
        checkTimedOut(*timedOut);
        socket.reset();
        connect();
        CHECK(ScriptedPeer::readTarget(*socket) == "/next");
        ScriptedPeer::send(*socket, responseWith("next"));
        loop.runUntil([&] { return next.has_value(); });
        checkNext(*next);
    }

    static void checkTimedOut(const Utils::Result<Http::Response>& result)
    {
        REQUIRE_FALSE(Utils::isOk(result));
        CHECK(Utils::error(result).code == Utils::ErrorCode::OutcomeUnknown);
        CHECK(Utils::error(result).message == "no response within the time limit");
    }

    static void checkNext(const Utils::Result<Http::Response>& result)
    {
        INFO((Utils::isOk(result) ? std::string() : Utils::error(result).message));
        REQUIRE(Utils::isOk(result));
        CHECK(Utils::value(result).status == 200);
        CHECK(Utils::value(result).body == "next");
        CHECK_FALSE(Http::findHeader(Utils::value(result).headers, "X-Late"));
    }

    HeldLoop loop;
    ScriptedPeer peer;
    std::unique_ptr<Http::Client> client = std::make_unique<Http::Client>(loop.context(), peer.endpoint(), 1);
    std::optional<ScriptedPeer::Socket> socket;
};

std::string lateResponse(std::size_t headerBytes, std::size_t bodyBytes)
{
    return "HTTP/1.1 299 Late\r\nX-Late: " + std::string(headerBytes, 'h')
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

} // namespace

TEST_CASE(
    "A request that is given up resets its connection, so that bytes that were held up do not arrive later")
{
    Fixture fixture;
    MaybeResult result;
    fixture.send("/given-up", shortLimit, result, largeBodyBytes);
    fixture.connect();
    fixture.loop.runUntil([&] { return result.has_value(); });
    CHECK_FALSE(Utils::isOk(*result));
    boost::system::error_code errorCode;
    std::vector<char> chunk(largeBodyBytes);
    while (!errorCode)
        fixture.socket->read_some(boost::asio::buffer(chunk), errorCode);
    CHECK(errorCode == boost::asio::error::connection_reset);
}

TEST_CASE("A write that completes after its exchange timed out leaves the next exchange alone")
{
    const bool isOpen = GENERATE(false, true);
    const std::size_t bodyBytes = GENERATE(std::size_t(64U << 10U), largeBodyBytes);
    // The number of handlers that run before the event loop is held.
    const int handlers = GENERATE(range(0, 6));
    CAPTURE(isOpen, bodyBytes, handlers);
    MaybeResult timedOut;
    MaybeResult next;
    Fixture fixture;
    if (isOpen)
        fixture.openConnection();
    fixture.send("/large", shortLimit, timedOut, bodyBytes);
    fixture.send("/next", longLimit, next);
    if (!isOpen)
        fixture.socket = fixture.peer.accept();
    fixture.loop.runHandlers(handlers);
    // Makes room, so that a further write completes at once when the loop goes on.
    ScriptedPeer::readAvailable(*fixture.socket);
    fixture.checkNextAfterHold(timedOut, next);
}

TEST_CASE("A read that completes after its exchange timed out leaves the next exchange alone")
{
    const std::string late = GENERATE(lateResponse(longHeaderBytes, 4), lateResponse(4, largeBodyBytes / 16));
    // The number of handlers that run before the event loop is held.
    const int handlers = GENERATE(range(0, 6));
    CAPTURE(handlers, late.size());
    MaybeResult timedOut;
    MaybeResult next;
    Fixture fixture;
    fixture.openConnection();
    fixture.send("/late", shortLimit, timedOut);
    fixture.send("/next", longLimit, next);
    fixture.loop.runUntil([&] { return fixture.socket->available() > 0; });
    CHECK(ScriptedPeer::readTarget(*fixture.socket) == "/late");
    fixture.loop.runHandlers(6);
    std::thread sender([&] {
        try {
            ScriptedPeer::send(*fixture.socket, late);
        } catch (const boost::system::system_error&) { // The client has closed the connection.
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    fixture.loop.runHandlers(handlers);
    std::this_thread::sleep_for(shortLimit);
    fixture.loop.runUntil([&] { return timedOut.has_value(); });
    sender.join();
    if (Utils::isOk(*timedOut)) {
        // The whole response was read before the loop was held.
        CHECK(Utils::value(*timedOut).status == 299);
        return;
    }
    fixture.checkNextAfterHold(timedOut, next);
}

TEST_CASE("A bulk response that keeps arriving is given up at its latest end")
{
    MaybeResult result;
    Fixture fixture;
    fixture.openConnection();
    const auto begin = std::chrono::steady_clock::now();
    fixture.client->send(Http::Request {}, Http::TimeLimits::bulk(shortLimit, shortLimit, 4 * shortLimit),
        [&result](Utils::Result<Http::Response> received) { result = std::move(received); });
    fixture.loop.runUntil([&] { return fixture.socket->available() > 0; });
    ScriptedPeer::send(*fixture.socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    fixture.loop.runUntil([&] {
        if (!result)
            ScriptedPeer::send(*fixture.socket, "x");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return result.has_value();
    });
    Fixture::checkTimedOut(*result);
    CHECK(std::chrono::steady_clock::now() - begin >= 4 * shortLimit);
}

TEST_CASE("A client can be destroyed while a request is being written")
{
    const int handlers = GENERATE(range(0, 4));
    MaybeResult result;
    Fixture fixture;
    fixture.openConnection();
    fixture.send("/large", shortLimit, result, largeBodyBytes);
    fixture.loop.runHandlers(handlers);
    ScriptedPeer::readAvailable(*fixture.socket);
    fixture.client.reset();
    std::this_thread::sleep_for(shortLimit);
    fixture.loop.runHandlers(20);
    CHECK_FALSE(result);
}

TEST_CASE("An error tells whether nothing listens at the address")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const std::uint16_t port = acceptor.local_endpoint().port();
    const auto send = [&] {
        Http::Client client(io, { "127.0.0.1", port }, 1);
        std::optional<Utils::Result<Http::Response>> result;
        client.send({}, std::chrono::milliseconds(200),
            [&](Utils::Result<Http::Response> answer) { result = std::move(answer); });
        io.restart();
        while (!result)
            io.run_one();
        REQUIRE_FALSE(Utils::isOk(*result));
        return Utils::error(*result);
    };
    // The connection is accepted by the kernel, and nothing is answered.
    CHECK_FALSE(send().isPeerAbsent);
    acceptor.close();
    const Utils::Error error = send();
    CHECK(error.isPeerAbsent);
    CHECK(error.code == Utils::ErrorCode::Unavailable);
}
