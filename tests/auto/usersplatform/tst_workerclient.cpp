#include "../http/scriptedpeer.h"

#include <platform/workerclient.h>
#include <utils/bootclock.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace std::chrono_literals;

namespace {

using Testing::responseWith;
using Testing::ScriptedPeer;

struct ReceivedCall {
    std::string target;
    boost::json::object body;
};

// A worker whose process can end, which ends its connections, and start again at its address.
struct Fixture {
    void poll(std::int64_t leaseUntilMs, std::uint64_t acknowledgedUpTo)
    {
        Ports::PollRequest request;
        request.authority.epoch = 3;
        request.leaseUntilMs = leaseUntilMs;
        request.acknowledgedUpTo = acknowledgedUpTo;
        request.wait = 400ms;
        report.reset();
        client.poll(
            request, [this](Utils::Result<Ports::WorkerReport> result) { report = std::move(result); });
    }

    void start(std::int64_t workerStartUnixMs)
    {
        Ports::StartCommand command;
        command.task = { "job", 0, 0, 0 };
        command.attempt = 1;
        command.leaseUntilMs = 9000;
        command.workerStartUnixMs = workerStartUnixMs;
        command.checkLimit = checkLimit;
        command.authority = { 3, sendBy };
        reply.reset();
        client.start(
            command, [this](Utils::Result<Ports::CommandReply> result) { reply = std::move(result); });
    }

    Ports::CommandOutcome awaitOutcome()
    {
        loop.runUntil([this] { return reply.has_value(); });
        REQUIRE(Utils::isOk(*reply));
        return Utils::value(*reply).outcome;
    }

    // Starts an attempt on a connection that the worker has answered on before and ends without an answer.
    void startOnEndedConnection()
    {
        start(7);
        receiveOnNewConnection();
        answer(connections[0], 7);
        receive(connections[0]);
        answer(connections[0], 7);
        CHECK(awaitOutcome() == Ports::CommandOutcome::Done);
        CHECK_FALSE(Utils::value(*reply).isToRepeatedCommand);
        sendBy = clock.now() + sendTime;
        start(7);
        CHECK(receive(connections[0]).target == "/run-start");
        connections[0].close();
        CHECK(receiveOnNewConnection().target == "/hold");
    }

    // Waits for a request on the connection.
    ReceivedCall receive(ScriptedPeer::Socket& connection)
    {
        loop.runUntil([&] { return connection.available() > 0; });
        std::string text;
        const std::size_t headerBytes
            = boost::asio::read_until(connection, boost::asio::dynamic_buffer(text), "\r\n\r\n");
        const std::string lengthField = "Content-Length: ";
        const std::size_t length = std::stoul(text.substr(text.find(lengthField) + lengthField.size()));
        if (text.size() < headerBytes + length)
            boost::asio::read(connection, boost::asio::dynamic_buffer(text, headerBytes + length));
        const std::size_t begin = text.find(' ') + 1;
        return { text.substr(begin, text.find(' ', begin) - begin),
            boost::json::parse(text.substr(headerBytes)).as_object() };
    }

    // Waits for the next connection and the first request there.
    ReceivedCall receiveOnNewConnection()
    {
        std::optional<ScriptedPeer::Socket> accepted;
        loop.runUntil([&] { return (accepted = peer.acceptIfAny()).has_value(); });
        connections.push_back(std::move(*accepted));
        return receive(connections.back());
    }

    void answer(ScriptedPeer::Socket& connection, std::int64_t startedUnixMs)
    {
        ScriptedPeer::send(connection,
            responseWith(R"({"wall_clock_ms":50,"running":[],"finished":[],"born":)"
                + std::to_string(startedUnixMs) + "}"));
    }

    void answerPoll(ScriptedPeer::Socket& connection, std::int64_t startedUnixMs)
    {
        answer(connection, startedUnixMs);
        loop.runUntil([this] { return report.has_value(); });
        REQUIRE(Utils::isOk(*report));
    }

    Testing::HeldLoop loop;
    ScriptedPeer peer;
    UsersPlatform::WorkerClient client { loop.context(), peer.endpoint(), "i-1" };
    std::vector<ScriptedPeer::Socket> connections; //!< Accepted by the worker.
    Utils::BootClock clock;
    Utils::TimePoint sendBy = Utils::TimePoint::max(); //!< Of starts.
    Utils::Duration checkLimit {}; //!< Of starts.
    Utils::Duration sendTime = 10s; //!< For the start whose connection ends.
    std::optional<Utils::Result<Ports::WorkerReport>> report;
    std::optional<Utils::Result<Ports::CommandReply>> reply;
};

} // namespace

TEST_CASE("A poll acknowledges ends only to the process that has listed them")
{
    Fixture fixture;
    fixture.poll(0, 57);
    CHECK(fixture.receiveOnNewConnection().body.at("ack_cursor").as_int64() == 0);
    fixture.answerPoll(fixture.connections[0], 7);
    CHECK(Utils::value(*fixture.report).isFirstOnConnection);

    fixture.poll(0, 57);
    CHECK(fixture.receive(fixture.connections[0]).body.at("ack_cursor").as_int64() == 57);
    fixture.answerPoll(fixture.connections[0], 7);
    CHECK_FALSE(Utils::value(*fixture.report).isFirstOnConnection);

    fixture.connections[0].close();
    fixture.poll(0, 57);
    const ReceivedCall call = fixture.receiveOnNewConnection();
    CHECK(call.target == "/hold");
    CHECK(call.body.at("ack_cursor").as_int64() == 0);
    fixture.answerPoll(fixture.connections[1], 8);
    CHECK(Utils::value(*fixture.report).isFirstOnConnection);
}

TEST_CASE("A poll renews the lease only of the process whose clock it uses")
{
    Fixture fixture;
    fixture.poll(9000, 0);
    CHECK_FALSE(fixture.receiveOnNewConnection().body.contains("until_ms"));
    fixture.answerPoll(fixture.connections[0], 7);
    fixture.poll(9000, 0);
    CHECK(fixture.receive(fixture.connections[0]).body.at("until_ms").as_int64() == 9000);
    fixture.answerPoll(fixture.connections[0], 7);

    fixture.connections[0].close();
    fixture.poll(9000, 0);
    CHECK_FALSE(fixture.receiveOnNewConnection().body.contains("until_ms"));
}

TEST_CASE("A start is sent only to the process that it is meant for")
{
    Fixture fixture;
    fixture.start(7);
    const ReceivedCall check = fixture.receiveOnNewConnection();
    CHECK(check.target == "/hold");
    CHECK(check.body.at("fencing_token").as_int64() == 3);
    CHECK(check.body.at("ack_cursor").as_int64() == 0);
    CHECK_FALSE(check.body.contains("until_ms"));
    fixture.answer(fixture.connections[0], 7);
    CHECK(fixture.receive(fixture.connections[0]).target == "/run-start");
    fixture.answer(fixture.connections[0], 7);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);

    // The connection is known to lead to the process.
    fixture.start(7);
    CHECK(fixture.receive(fixture.connections[0]).target == "/run-start");
    fixture.answer(fixture.connections[0], 7);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);

    // The worker starts again.
    fixture.connections[0].close();
    fixture.start(7);
    CHECK(fixture.receiveOnNewConnection().target == "/hold");
    fixture.answer(fixture.connections[1], 8);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::IncarnationMismatch);
    fixture.start(8);
    CHECK(fixture.receive(fixture.connections[1]).target == "/run-start");
}

TEST_CASE("A start is not sent on a connection that a stop has opened to another process")
{
    Fixture fixture;
    fixture.client.stop({ "job", 0, 0, 0 }, 1, {}, [](const Utils::Result<Ports::CommandReply>&) {});
    CHECK(fixture.receiveOnNewConnection().target == "/run-stop");
    fixture.answer(fixture.connections[0], 8);
    fixture.loop.runHandlers(20);
    fixture.start(7);
    CHECK(fixture.receive(fixture.connections[0]).target == "/hold");
    fixture.answer(fixture.connections[0], 8);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::IncarnationMismatch);
}

TEST_CASE("A start takes a new connection if the known one leads to a former process that has not closed it")
{
    Fixture fixture;
    fixture.start(7);
    fixture.receiveOnNewConnection();
    fixture.answer(fixture.connections[0], 7);
    fixture.receive(fixture.connections[0]);
    fixture.answer(fixture.connections[0], 7);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);

    fixture.start(8);
    CHECK(fixture.receiveOnNewConnection().target == "/hold");
    fixture.answer(fixture.connections[1], 8);
    CHECK(fixture.receive(fixture.connections[1]).target == "/run-start");
    fixture.answer(fixture.connections[1], 8);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);
    CHECK(ScriptedPeer::readAvailable(fixture.connections[0]) == 0);
}

TEST_CASE("A start whose connection ends before its process is known was not sent")
{
    Fixture fixture;
    fixture.start(7);
    CHECK(fixture.receiveOnNewConnection().target == "/hold");
    fixture.connections[0].close();
    fixture.loop.runUntil([&] { return fixture.reply.has_value(); });
    REQUIRE_FALSE(Utils::isOk(*fixture.reply));
    CHECK(Utils::error(*fixture.reply).code == Utils::ErrorCode::Unavailable);
}

// Guards against starts on workers that have lost power while the connection to them stayed open.
TEST_CASE("A start that needs a check follows an answer of the worker, also on a connection that is known")
{
    Fixture fixture;
    fixture.checkLimit = 200ms;
    fixture.start(7);
    fixture.receiveOnNewConnection();
    fixture.answer(fixture.connections[0], 7);
    fixture.receive(fixture.connections[0]);
    fixture.answer(fixture.connections[0], 7);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);

    fixture.start(7);
    const ReceivedCall check = fixture.receive(fixture.connections[0]);
    CHECK(check.target == "/hold");
    CHECK(check.body.at("ack_cursor").as_int64() == 0);
    CHECK_FALSE(check.body.contains("until_ms"));
    SECTION("and is sent there after it")
    {
        fixture.answer(fixture.connections[0], 7);
        CHECK(fixture.receive(fixture.connections[0]).target == "/run-start");
        fixture.answer(fixture.connections[0], 7);
        CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);
    }
    SECTION("and is not sent without it")
    {
        fixture.loop.runUntil([&] { return fixture.reply.has_value(); });
        REQUIRE_FALSE(Utils::isOk(*fixture.reply));
        CHECK(Utils::error(*fixture.reply).code == Utils::ErrorCode::Unavailable);
        CHECK(ScriptedPeer::readAvailable(fixture.connections[0]) == 0);
    }
    SECTION("and is not sent to the next process")
    {
        fixture.connections[0].close();
        CHECK(fixture.receiveOnNewConnection().target == "/hold");
        fixture.answer(fixture.connections[1], 8);
        CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::IncarnationMismatch);
    }
}

// HTTP lets a server close a connection after any response.
TEST_CASE("A start reaches a worker that closes each connection after its answer")
{
    Fixture fixture;
    fixture.start(7);
    CHECK(fixture.receiveOnNewConnection().target == "/hold");
    fixture.answer(fixture.connections[0], 7);
    fixture.connections[0].close();
    CHECK(fixture.receiveOnNewConnection().target == "/run-start");
    fixture.answer(fixture.connections[1], 7);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);
}

TEST_CASE("Polls renew the lease of a worker that closes each connection, until another process answers")
{
    Fixture fixture;
    const auto pollOnNewConnection = [&](std::int64_t startedUnixMs) {
        fixture.poll(9000, 57);
        const boost::json::object body = fixture.receiveOnNewConnection().body;
        fixture.answerPoll(fixture.connections.back(), startedUnixMs);
        fixture.connections.back().close();
        CHECK(body.contains("until_ms") == (body.at("ack_cursor").as_int64() == 57));
        CHECK(Utils::value(*fixture.report).isFirstOnConnection != body.contains("until_ms"));
        return body.contains("until_ms");
    };
    CHECK_FALSE(pollOnNewConnection(7));
    CHECK_FALSE(pollOnNewConnection(7));
    CHECK(pollOnNewConnection(7));
    CHECK(pollOnNewConnection(7));
    std::this_thread::sleep_for(60ms);
    CHECK_FALSE(pollOnNewConnection(7));
    CHECK(pollOnNewConnection(7));
    CHECK(pollOnNewConnection(8));
    CHECK_FALSE(pollOnNewConnection(8));
}

TEST_CASE("A start is checked and sent again if the server closes a kept connection without a response")
{
    Fixture fixture;
    fixture.start(7);
    fixture.receiveOnNewConnection();
    fixture.answer(fixture.connections[0], 7);
    fixture.receive(fixture.connections[0]);
    fixture.answer(fixture.connections[0], 7);
    CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);

    fixture.start(7);
    CHECK(fixture.receive(fixture.connections[0]).target == "/run-start");
    fixture.connections[0].close();
    CHECK(fixture.receiveOnNewConnection().target == "/hold");
    SECTION("to the same process")
    {
        fixture.answer(fixture.connections[1], 7);
        CHECK(fixture.receive(fixture.connections[1]).target == "/run-start");
        fixture.answer(fixture.connections[1], 7);
        CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);
    }
    SECTION("but not to another one, and the first copy may have been carried out")
    {
        fixture.answer(fixture.connections[1], 8);
        fixture.loop.runUntil([&] { return fixture.reply.has_value(); });
        REQUIRE_FALSE(Utils::isOk(*fixture.reply));
        CHECK(Utils::error(*fixture.reply).code == Utils::ErrorCode::OutcomeUnknown);
    }
}

// Guards against second runs: a start that is taken for refused is sent to another worker at once.
TEST_CASE("An answer to a start that was sent again tells that the first sending got none")
{
    Fixture fixture;
    fixture.startOnEndedConnection();
    fixture.answer(fixture.connections[1], 7);
    CHECK(fixture.receive(fixture.connections[1]).target == "/run-start");
    SECTION("if it is accepted")
    {
        fixture.answer(fixture.connections[1], 7);
        CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Done);
    }
    SECTION("if it is rejected")
    {
        ScriptedPeer::send(
            fixture.connections[1], "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}");
        CHECK(fixture.awaitOutcome() == Ports::CommandOutcome::Rejected);
        CHECK_FALSE(Utils::value(*fixture.reply).isNotExecuted());
    }
    CHECK(Utils::value(*fixture.reply).isToRepeatedCommand);
}

TEST_CASE("The outcome of a start is unknown if its first sending got no answer and it cannot be sent again")
{
    Fixture fixture;
    SECTION("as the worker does not listen any more")
    {
        fixture.startOnEndedConnection();
        fixture.peer.stopListening();
        fixture.answer(fixture.connections[1], 7);
        fixture.connections[1].close();
    }
    SECTION("as the right to send it has ended")
    {
        fixture.sendTime = 300ms;
        fixture.startOnEndedConnection();
        std::this_thread::sleep_for(fixture.sendBy - fixture.clock.now() + 10ms);
        fixture.answer(fixture.connections[1], 7);
    }
    fixture.loop.runUntil([&] { return fixture.reply.has_value(); });
    REQUIRE_FALSE(Utils::isOk(*fixture.reply));
    CHECK(Utils::error(*fixture.reply).code == Utils::ErrorCode::OutcomeUnknown);
}

TEST_CASE("A poll is sent again without a lease if the server closes a kept connection without a response")
{
    Fixture fixture;
    fixture.poll(0, 0);
    fixture.receiveOnNewConnection();
    fixture.answerPoll(fixture.connections[0], 7);
    fixture.poll(9000, 57);
    CHECK(fixture.receive(fixture.connections[0]).body.contains("until_ms"));
    fixture.connections[0].close();
    const ReceivedCall repeated = fixture.receiveOnNewConnection();
    CHECK_FALSE(repeated.body.contains("until_ms"));
    CHECK(repeated.body.at("ack_cursor").as_int64() == 0);
    fixture.answerPoll(fixture.connections[1], 7);
    CHECK(Utils::value(*fixture.report).isFirstOnConnection);
}
