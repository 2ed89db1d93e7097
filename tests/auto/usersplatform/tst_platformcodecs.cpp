#include <platform/base64.h>
#include <platform/callercodec.h>
#include <platform/queuecodec.h>
#include <platform/workercodec.h>
#include <platform/workerentrycodec.h>

#include <catch2/catch.hpp>

using namespace UsersPlatform;

namespace {

Http::Request makeRequest(const std::string& method, const std::string& target, const std::string& body = {})
{
    Http::Request request;
    request.method = method;
    request.target = target;
    request.headers = { { "Host", "queue.example:8080" }, { "X-Deadline-Ms", "2500" } };
    request.body = body;
    return request;
}

Ports::Row makeRow(const std::string& value)
{
    Ports::Row row;
    row.name = { "servers", "", "i-1" };
    row.value = value;
    return row;
}

} // namespace

TEST_CASE("Task names are decoded as they are encoded, and malformed ones are rejected")
{
    const Ports::TaskKey task { "5c0e7a21d94b36f8", 3, 1, 17 };
    CHECK(encodeTaskName(task) == "5c0e7a21d94b36f8.3.1.17");
    const auto decoded = decodeTaskName("5c0e7a21d94b36f8.3.1.17");
    REQUIRE(Utils::isOk(decoded));
    CHECK(Utils::value(decoded) == task);
    for (const char* invalidText :
        { "", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.", "a.1.2.3 ", "a.-1.2.3" })
        CHECK_FALSE(Utils::isOk(decodeTaskName(invalidText)));
}

TEST_CASE("A worker's report is decoded with its running and ended attempts")
{
    const auto report = decodeReport(R"({"wall_clock_ms":482113,"born":1700000000000,
        "running":[["j.0.1.17",2,"cp",41,2100]],"finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",1,"lapsed","c"]]})",
        "peer");
    REQUIRE(Utils::isOk(report));
    const Ports::WorkerReport& value = Utils::value(report);
    CHECK(value.clockMs == 482113);
    CHECK(value.startedUnixMs == 1700000000000);
    REQUIRE(value.running.size() == 1);
    CHECK(value.running[0].checkpoint == "cp");
    CHECK(value.running[0].load == 2100);
    REQUIRE(value.ended.size() == 2);
    CHECK(value.ended[0].outcome == Ports::AttemptOutcome::Done);
    CHECK(value.ended[1].outcome == Ports::AttemptOutcome::LeaseLapsed);
    CHECK_FALSE(value.isTruncated);
}

TEST_CASE("A report with a malformed row is rejected as a whole")
{
    for (const char* invalidText : { "", "[]", R"({"born":1,"running":[["j.0.1"]],"finished":[]})",
             R"({"born":1,"running":[[1,2,"",3]],"finished":[]})",
             R"({"born":1,"running":[],"finished":[[1,"j.0.1.1",1,"done"]]})",
             R"({"born":1,"running":[],"finished":[["x"]]})" }) {
        CHECK_FALSE(Utils::isOk(decodeReport(invalidText, "peer")));
    }
}

// Guards against second runs: tasks that such a report does not list would be taken for ended.
TEST_CASE("A report without the worker's start or a list of its attempts is rejected")
{
    REQUIRE(Utils::isOk(decodeReport(R"({"born":1,"running":[],"finished":[]})", "peer")));
    for (const char* incompleteText : { "{}", R"({"wall_clock_ms":5})", R"({"running":[],"finished":[]})",
             R"({"born":1,"finished":[]})", R"({"born":1,"running":[]})",
             R"({"born":1,"running":null,"finished":[]})", R"({"born":0,"running":[],"finished":[]})" }) {
        INFO(incompleteText);
        CHECK_FALSE(Utils::isOk(decodeReport(incompleteText, "peer")));
    }
}

// Guards against second runs: a start that is taken for refused is sent to another worker at once.
TEST_CASE("Only statuses of a worker tell that it has not carried out a command")
{
    const auto decode = [](unsigned status, const std::string& body) {
        Http::Response response;
        response.status = status;
        response.body = body;
        return decodeCommandReply(response, "worker.start", "peer");
    };
    const auto accepted = decode(200, R"({"wall_clock_ms":482113})");
    REQUIRE(Utils::isOk(accepted));
    CHECK(Utils::value(accepted).outcome == Ports::CommandOutcome::Done);
    CHECK(Utils::value(accepted).clockMs == 482113);
    const auto fenced = decode(409, R"({"reason":"fence"})");
    REQUIRE(Utils::isOk(fenced));
    CHECK(Utils::value(fenced).outcome == Ports::CommandOutcome::Fenced);
    for (const unsigned refusal : { 400U, 409U, 421U, 429U, 503U }) {
        const auto reply = decode(refusal, "{}");
        REQUIRE(Utils::isOk(reply));
        CHECK(Utils::value(reply).outcome != Ports::CommandOutcome::Done);
    }
    for (const unsigned other : { 204U, 404U, 408U, 500U, 502U, 504U }) {
        const auto reply = decode(other, "{}");
        INFO(other);
        REQUIRE_FALSE(Utils::isOk(reply));
        CHECK(Utils::error(reply).code == Utils::ErrorCode::OutcomeUnknown);
    }
}

TEST_CASE("A worker's entry is decoded, and malformed entries are rejected")
{
    const auto worker
        = decodeWorker(makeRow(R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","state":"draining",
        "drain_remaining_ms":1200,"born":5,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],
        "something":"new"})"));
    REQUIRE(Utils::isOk(worker));
    const Ports::WorkerInfo& info = Utils::value(worker);
    CHECK(info.id == "i-1");
    CHECK(info.rack == "r1-3");
    CHECK(info.isDraining);
    CHECK(info.drainRemainingMs == 1200);
    CHECK(info.milliProcessors == 16000);
    for (const char* invalidText : { "", "\xff\xfe", "[]", R"({"service":7,"addr":"10.128.0.9:8080"})",
             R"({"service":"s","addr":"nowhere","state":"ready","labels":["a","r"],"capacity":{}})",
             R"({"service":"s","addr":"10.0.0.1:1","state":"odd","labels":["a","r"],"capacity":{}})",
             R"({"service":"s","addr":"10.0.0.1:1","state":"ready","labels":["a"],"capacity":{}})",
             R"({"service":"s","addr":"10.0.0.1:1","state":"ready","labels":["a","r"]})" }) {
        CHECK_FALSE(Utils::isOk(decodeWorker(makeRow(invalidText))));
    }
}

TEST_CASE("The operator's configuration is decoded, and unknown fields are ignored")
{
    const auto decoded
        = decodeConfiguration(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
        "service":"s","priority":2,"max_attempts":3,"slack_factor":1.5,"target_latency_ms":400,
        "advice":{"decide_ms":5}}],"limits":{"max_body_bytes":1000},"new":{}})");
    REQUIRE(Utils::isOk(decoded));
    const Ports::QueueConfiguration& configuration = Utils::value(decoded);
    CHECK(configuration.revision == 7);
    CHECK(configuration.maxBodyBytes == 1000);
    REQUIRE(configuration.queues.size() == 1);
    CHECK(configuration.queues[0].slackFactor == 1.5);
    CHECK(configuration.queues[0].maxFailures == 3);
    CHECK(configuration.queues[0].needsAdvice);
    CHECK_FALSE(Utils::isOk(decodeConfiguration("no json")));
}

TEST_CASE("A submission is decoded with all fields of its steps")
{
    const auto decoded
        = decodeRequest(makeRequest("POST", "/p/5c0e7a21d94b36f8?x=1", R"json({"spec":"(text)","phases":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},
        {"count":2,"cpu":2000,"mem_mb":1024,"gpu":1,"after":[0],"checkpointed":true,"gang":true,"tightly_coupled":true,
         "constraints":"a","anti_affinity":1,"speculative":true,"long_running":true,"image":"i","target_ms":18,
         "utilization":true,"may_miss":1}],"times":3,"start_at_ms":10,"period_ms":20})json"));
    REQUIRE(Utils::isOk(decoded));
    const Ports::CallerRequest& call = Utils::value(decoded);
    CHECK(call.action == Ports::CallerAction::Submit);
    CHECK(call.host == "queue.example");
    CHECK(call.path == "/p/5c0e7a21d94b36f8");
    CHECK(call.deadlineMs == 2500);
    CHECK(call.spec.occurrences() == 3);
    REQUIRE(call.spec.steps_size() == 2);
    CHECK(call.spec.steps(0).data_rack() == "r1-3");
    CHECK_FALSE(call.spec.steps(0).has_disruption_budget());
    const FleetSchema::StepSpec& step = call.spec.steps(1);
    CHECK(step.after(0) == 0);
    CHECK(step.gang());
    CHECK(step.same_rack());
    CHECK(step.required_label() == "a");
    CHECK(step.max_per_worker() == 1);
    CHECK(step.duplicable());
    CHECK(step.lasting());
    CHECK(step.tail_target_ms() == 18);
    CHECK(step.leftover_processors());
    CHECK(step.disruption_budget() == 1);
}

TEST_CASE("Malformed submissions are rejected")
{
    for (const char* invalidText : { "", "[]", "{\"phases\":[1]}", "\xff" })
        CHECK_FALSE(Utils::isOk(decodeRequest(makeRequest("POST", "/p/1", invalidText))));
    CHECK_FALSE(Utils::isOk(decodeRequest(makeRequest("PATCH", "/p/1"))));
}

TEST_CASE("Responses contain the state, the status and the retry delay")
{
    Ports::CallerResponse answer;
    answer.hasState = true;
    answer.state = FleetSchema::JOB_COMPLETED;
    CHECK(encodeResponse(answer).body == R"({"state":"completed"})");
    answer = {};
    answer.outcome = Ports::CallerOutcome::Overloaded;
    answer.retryAfterMs = 1500;
    const Http::Response refused = encodeResponse(answer);
    CHECK(refused.status == 429);
    CHECK(refused.headers.back().name == "Retry-After");
    CHECK(refused.headers.back().value == "2");
    answer = {};
    answer.outcome = Ports::CallerOutcome::Undecided;
    CHECK(encodeResponse(answer).status == 504);
    answer.outcome = Ports::CallerOutcome::NoSuchJob;
    CHECK(encodeResponse(answer).status == 410);
}

TEST_CASE("Base64 round trips preserve data of any length")
{
    std::string bytes;
    for (int length = 0; length < 70; ++length) {
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
        bytes.push_back(static_cast<char>(length * 37));
    }
    CHECK(encodeBase64("node-1") == "bm9kZS0x");
    CHECK(decodeBase64("%%%%").empty());
}
