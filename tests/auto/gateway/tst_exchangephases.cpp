#include "scriptedbackend.h"

#include <gateway/servicegateway.h>
#include <http/headers.h>

#include <platform.pb.h>
#include <policy.pb.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace {

using Testing::BackendScript;
using Testing::ScriptedBackend;

Schema::PolicyDocument testPolicy()
{
    Schema::PolicyDocument policy;
    auto* priorityClass = policy.add_priority_class();
    priorityClass->set_name("normal");
    priorityClass->set_guaranteed_percent(50);
    priorityClass->set_ceiling_percent(100);
    priorityClass->set_max_queue_ms(500);
    auto* service = policy.add_service();
    service->set_name("rounds");
    service->set_default_class("normal");
    service->set_objective_ms(250);
    service->set_slots(8);
    service->set_connections(64);
    return policy;
}

// A gateway with one thread, and backend servers on the given ports.
class GatewayFixture {
public:
    explicit GatewayFixture(std::span<const std::uint16_t> ports)
        : gateway_(context_, { "entry-1", "lagos-a", "lagos" }, limits(), std::chrono::seconds(10))
        , workGuard_(context_.get_executor())
        , thread_([this] { context_.run(); })
    {
        gateway_.setPolicy(testPolicy());
        std::vector<Schema::VmEntry> vms;
        for (const std::uint16_t port : ports) {
            Schema::VmEntry& vm = vms.emplace_back();
            vm.set_name("backend-" + std::to_string(vms.size()));
            vm.set_role(Schema::VM_ROLE_BACKEND);
            vm.set_address("127.0.0.1");
            vm.set_port(port);
            vm.set_domain("lagos-a");
            vm.set_region("lagos");
            vm.set_service("rounds");
            vm.set_slots(8);
            vm.set_connections(64);
        }
        std::vector<const Schema::VmEntry*> pointers;
        pointers.reserve(vms.size());
        for (const Schema::VmEntry& vm : vms)
            pointers.push_back(&vm);
        gateway_.setVms(pointers);
    }

    ~GatewayFixture()
    {
        context_.stop();
        thread_.join();
    }

    Http::Response send(const std::string& method, const std::string& deadlineMs = "5000")
    {
        std::promise<Http::Response> promise;
        gateway_.handle(
            { method, "/services/rounds/plan", { { "Geraniumquay-Deadline-Ms", deadlineMs } }, "order", "" },
            [&promise](Http::Response response) { promise.set_value(std::move(response)); });
        return promise.get_future().get();
    }

    std::string outcomeOf(const std::string& method, const std::string& deadlineMs = "5000")
    {
        return std::string(
            Http::findHeader(send(method, deadlineMs).headers, "Geraniumquay-Outcome").value_or(""));
    }

private:
    static Gateway::GatewayLimits limits()
    {
        Gateway::GatewayLimits limits;
        limits.progressTimeout = std::chrono::milliseconds(200);
        limits.maxIdleNonIdempotent = std::chrono::milliseconds(50);
        return limits;
    }

    boost::asio::io_context context_ { 1 };
    Gateway::ServiceGateway gateway_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
    std::thread thread_;
};

BackendScript respondingWith(std::string response, bool close = true)
{
    BackendScript script;
    script.response = std::move(response);
    script.closeAfterResponse = close;
    return script;
}

constexpr char completeResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

} // namespace

TEST_CASE("A complete response is returned with the outcome completed")
{
    ScriptedBackend backend(respondingWith(completeResponse, false));
    const std::uint16_t ports[] = { backend.port() };
    GatewayFixture fixture(ports);
    const Http::Response response = fixture.send("POST");
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
    CHECK(Http::findHeader(response.headers, "Geraniumquay-Outcome") == std::string_view("completed"));
    CHECK(Http::findHeader(response.headers, "Geraniumquay-Served-By") == std::string_view("backend-1"));
    CHECK(backend.executedRequests() == 1);
}

TEST_CASE("A request that no backend server received has the outcome not-run")
{
    BackendScript refusing;
    refusing.refuseConnections = true;
    ScriptedBackend backend(refusing);
    const std::uint16_t ports[] = { backend.port() };
    GatewayFixture fixture(ports);
    CHECK(fixture.outcomeOf("POST") == "not-run");
    CHECK(backend.executedRequests() == 0);
}

TEST_CASE("A non-idempotent request that may have run has the outcome unknown and is sent once")
{
    const std::string truncated[] = { "", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nno length",
        "garbage\r\n\r\n" };
    for (const std::string& response : truncated) {
        INFO("response: " << response);
        ScriptedBackend broken(respondingWith(response));
        ScriptedBackend second(respondingWith(response));
        const std::uint16_t ports[] = { broken.port(), second.port() };
        GatewayFixture fixture(ports);
        CHECK(fixture.outcomeOf("POST") == "unknown");
        CHECK(broken.executedRequests() + second.executedRequests() == 1);
    }
}

TEST_CASE("A truncated response to an idempotent request is retried and never returned")
{
    BackendScript script = respondingWith("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    script.firstHealthyConnection = 1;
    ScriptedBackend backend(script);
    const std::uint16_t ports[] = { backend.port() };
    GatewayFixture fixture(ports);
    const Http::Response response = fixture.send("GET");
    CHECK(response.body == "ok");
    CHECK(backend.executedRequests() == 2);
}

TEST_CASE("A refusal before execution is retried even if the request is not idempotent")
{
    ScriptedBackend refusing(
        respondingWith("HTTP/1.1 503 Busy\r\nGeraniumquay-Outcome: not-run\r\nConnection: "
                       "close\r\nContent-Length: 0\r\n\r\n"));
    ScriptedBackend healthy(respondingWith(completeResponse, false));
    const std::uint16_t ports[] = { refusing.port(), healthy.port() };
    GatewayFixture fixture(ports);
    for (int request = 0; request < 4; ++request)
        CHECK(fixture.outcomeOf("POST") == "completed");
    CHECK(healthy.executedRequests() == 4);
}

TEST_CASE("An idempotent request on an unresponsive connection is retried on a new one")
{
    BackendScript script = respondingWith("", false);
    script.firstHealthyConnection = 1;
    ScriptedBackend backend(script);
    const std::uint16_t ports[] = { backend.port() };
    GatewayFixture fixture(ports);
    CHECK(fixture.outcomeOf("GET") == "completed");
}

TEST_CASE("A non-idempotent request to an unresponsive backend server ends as unknown at its deadline")
{
    ScriptedBackend backend(respondingWith("", false));
    const std::uint16_t ports[] = { backend.port() };
    GatewayFixture fixture(ports);
    CHECK(fixture.outcomeOf("POST", "300") == "unknown");
    CHECK(backend.executedRequests() == 1);
}

TEST_CASE("Requests succeed after all open connections became unresponsive, and none runs twice")
{
    ScriptedBackend backend(respondingWith(completeResponse, false));
    const std::uint16_t ports[] = { backend.port() };
    GatewayFixture fixture(ports);
    REQUIRE(fixture.outcomeOf("POST") == "completed");
    backend.silenceOpenConnections();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(fixture.outcomeOf("POST") == "completed");
    CHECK(backend.executedRequests() == 2);
    backend.silenceOpenConnections();
    CHECK(fixture.outcomeOf("GET") == "completed");
    CHECK(backend.executedRequests() == 3);
}
