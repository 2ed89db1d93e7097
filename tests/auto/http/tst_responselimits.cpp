#include "scriptedpeer.h"

#include <http/client.h>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>

namespace {

using Testing::ScriptedPeer;

constexpr auto limit = std::chrono::seconds(20);

/*! A client whose server answers with a header and then whatever the test sends. */
struct Fixture {
    explicit Fixture(Http::ClientLimits limits)
        : client(loop.context(), peer.endpoint(), 1, nullptr, std::move(limits))
    {
        Http::Request request;
        request.method = "POST";
        request.target = "/";
        client.send(std::move(request), limit,
            [this](Utils::Result<Http::Response> received) { result = std::move(received); });
        loop.runUntil([this] {
            if (!socket)
                socket = peer.acceptIfAny();
            return socket && socket->available() > 0;
        });
        ScriptedPeer::readTarget(*socket);
    }

    void send(const std::string& text)
    {
        ScriptedPeer::send(*socket, text);
        loop.runUntil([this] { return result.has_value(); });
    }

    ScriptedPeer peer;
    Testing::HeldLoop loop;
    Http::Client client;
    std::optional<ScriptedPeer::Socket> socket;
    std::optional<Utils::Result<Http::Response>> result;
};

Utils::ErrorCode codeOf(const Fixture& fixture)
{
    REQUIRE(fixture.result);
    REQUIRE_FALSE(Utils::isOk(*fixture.result));
    return Utils::error(*fixture.result).code;
}

} // namespace

TEST_CASE("Trailers without end fail the exchange with an unknown outcome")
{
    Fixture fixture({});
    fixture.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: "
        + std::string(100'000, 't'));
    CHECK(codeOf(fixture) == Utils::ErrorCode::OutcomeUnknown);
}

TEST_CASE("A response over the limit fails the exchange with an unknown outcome")
{
    Fixture fixture({ 1000, nullptr });
    fixture.send("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
    CHECK(codeOf(fixture) == Utils::ErrorCode::OutcomeUnknown);
}

TEST_CASE("Responses that are too large together fail, and what they held is released")
{
    const auto budget = std::make_shared<Http::ByteBudget>(10'000);
    REQUIRE(budget->acquire(9'500));
    {
        Fixture fixture({ 100'000, budget });
        fixture.send(Testing::responseWith(std::string(1000, 'b')));
        CHECK(codeOf(fixture) == Utils::ErrorCode::OutcomeUnknown);
    }
    CHECK(budget->used() == 9'500);
    Fixture other({ 100'000, budget });
    other.send(Testing::responseWith(std::string(400, 'b')));
    CHECK(Utils::isOk(*other.result));
}
