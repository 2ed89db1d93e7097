#include <batch/jobapi.h>
#include <batch/jobassignment.h>
#include <batch/rowkeys.h>
#include <platform/memorytable.h>

#include <catch2/catch.hpp>

namespace {

Schema::TaskSize makeSize(double processors, double memoryMb)
{
    Schema::TaskSize result;
    result.set_processors(processors);
    result.set_memory_mb(memoryMb);
    return result;
}

Batch::CandidateShard makeShard(const std::string& shard, const std::string& domain, double freeProcessors)
{
    Batch::CandidateShard result;
    result.shard = shard;
    result.row.set_domain(domain);
    result.row.set_region("lagos");
    Schema::ShardCapacity& capacity = *result.row.mutable_capacity();
    capacity.set_workers(8);
    *capacity.mutable_total() = makeSize(256, 1000000);
    *capacity.mutable_free() = makeSize(freeProcessors, 1000000);
    *capacity.add_kinds() = makeSize(32, 125000);
    return result;
}

Schema::JobSpec makeSpec(std::uint32_t count, double processors, Schema::JobKind kind = Schema::BATCH)
{
    Schema::JobSpec result;
    result.set_count(count);
    result.set_kind(kind);
    *result.mutable_size() = makeSize(processors, 100);
    return result;
}

void publish(Platform::MemoryTable& table, const Batch::CandidateShard& shard)
{
    Schema::CommitRequest request;
    request.set_write_id(shard.shard);
    Schema::RowPut* put = request.add_puts();
    put->set_key(Batch::shardKey(shard.shard));
    put->set_value(shard.row.SerializeAsString());
    table.commit(request);
}

constexpr const char* smallJob = R"({"id":"a","count":3,"size":{"processors":1,"memory_mb":10},"run_ms":5})";

} // namespace

TEST_CASE("Batch tasks go to shards with free capacity, the rest in proportion to total capacity")
{
    const std::vector<Batch::CandidateShard> shards { makeShard("r1", "d1", 10), makeShard("r2", "d1", 100) };
    const auto assignment = Batch::assignJob(makeSpec(50, 1), shards);
    REQUIRE(assignment.parts.size() == 1);
    CHECK(assignment.parts[0].shard() == "r2");
    std::uint32_t sum = 0;
    for (const Schema::JobPart& part : Batch::assignJob(makeSpec(1000, 1), shards).parts) {
        CHECK(part.first() == sum);
        sum += part.count();
    }
    CHECK(sum == 1000);
}

TEST_CASE("Replicas of a service are spread over failure domains and shards")
{
    const std::vector<Batch::CandidateShard> shards { makeShard("r1", "d1", 99), makeShard("r2", "d1", 1),
        makeShard("r3", "d2", 1) };
    const auto assignment = Batch::assignJob(makeSpec(4, 1, Schema::SERVICE), shards);
    REQUIRE(assignment.parts.size() == 3);
    CHECK(assignment.parts[0].count() == 1);
    CHECK(assignment.parts[2].count() == 2);
}

TEST_CASE("A job whose task fits no single worker is rejected with the reason")
{
    const std::vector<Batch::CandidateShard> shards { makeShard("r1", "d1", 100) };
    CHECK(Batch::assignJob(makeSpec(1, 33), shards).reason.find("large enough") != std::string::npos);
    CHECK(Batch::assignJob(makeSpec(1, 32), shards).reason.empty());
    Schema::JobSpec otherRegion = makeSpec(1, 1);
    otherRegion.set_region("abuja");
    CHECK(Batch::assignJob(otherRegion, shards).reason.find("abuja") != std::string::npos);
}

TEST_CASE("A submission is idempotent by its id, and a different job with the same id is rejected")
{
    Platform::MemoryTable table;
    Batch::JobApi api(table);
    CHECK(api.handle("POST", "/v1/jobs", smallJob, 1).status == 503); // No shard is known yet.
    publish(table, makeShard("r1", "d1", 100));
    CHECK(api.handle("POST", "/v1/jobs", smallJob, 1).status == 201);
    CHECK(api.handle("POST", "/v1/jobs", smallJob, 2).status == 200);
    CHECK(Utils::value(table.scan(Batch::inboxPrefix("r1"), "", 10)).rows_size() == 1);
    const std::string other = R"({"id":"a","count":4,"size":{"processors":1}})";
    CHECK(api.handle("POST", "/v1/jobs", other, 3).status == 409);
}

TEST_CASE("Invalid requests are rejected with the step and the reason")
{
    Platform::MemoryTable table;
    Batch::JobApi api(table);
    CHECK(api.handle("POST", "/v1/jobs", "{", 1).body.find("jobs.parse") != std::string::npos);
    CHECK(api.handle("POST", "/v1/jobs", R"({"count":0})", 1).body.find("count") != std::string::npos);
    CHECK(api.handle("POST", "/v1/jobs", R"({"id":"a/b","count":1})", 1).status == 400);
    CHECK(api.handle("GET", "/v1/jobs/none", "", 1).status == 404);
    CHECK(api.handle("PUT", "/v1/jobs/none", "", 1).status == 405);
}

TEST_CASE("The state of a job is derived from all its parts")
{
    Schema::JobRow job;
    *job.mutable_spec() = makeSpec(5, 1);
    CHECK(Batch::sumJobStatus(job, {}).state() == Schema::PENDING);
    Schema::JobPartState first;
    first.set_done(3);
    Schema::JobPartState second;
    second.set_running(2);
    CHECK(Batch::sumJobStatus(job, { first, second }).state() == Schema::RUNNING);
    second.clear_running();
    second.set_failed(2);
    CHECK(Batch::sumJobStatus(job, { first, second }).state() == Schema::FAILED);
    second.clear_failed();
    second.set_never(2);
    CHECK(Batch::sumJobStatus(job, { first, second }).state() == Schema::NEVER);
}
