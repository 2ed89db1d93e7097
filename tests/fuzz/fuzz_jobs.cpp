// checkfuzz runs=10000 seed=1 max_len=4096
// Job submissions: any input gets a status and a JSON body, and the parts of an accepted job cover each task
// once.

#include <batch/jobapi.h>
#include <batch/rowkeys.h>
#include <platform/memorytable.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

constexpr std::uint64_t submittedUnixMs = 1'700'000'000'000;

void addShard(Platform::MemoryTable& table, const std::string& shard, double processors, double memoryMb)
{
    Schema::ShardRow row;
    row.set_owner("owner");
    row.set_region("lagos");
    row.set_domain(shard);
    Schema::ShardCapacity& capacity = *row.mutable_capacity();
    capacity.set_workers(8);
    for (Schema::TaskSize* size : { capacity.add_kinds(), capacity.mutable_largest() }) {
        size->set_processors(processors);
        size->set_memory_mb(memoryMb);
    }
    for (Schema::TaskSize* size : { capacity.mutable_total(), capacity.mutable_free() }) {
        size->set_processors(8 * processors);
        size->set_memory_mb(8 * memoryMb);
    }
    Schema::CommitRequest request;
    request.set_write_id("shard " + shard);
    Schema::RowPut* put = request.add_puts();
    put->set_key(Batch::shardKey(shard));
    put->set_value(row.SerializeAsString());
    (void)table.commit(request);
}

[[noreturn]] void fail(std::string_view message, const std::string& answer)
{
    std::cerr << message << ": " << answer << "\n";
    std::abort();
}

void checkParts(Platform::MemoryTable& table)
{
    const auto reply = table.scan(Batch::jobKey(""), "", 1);
    if (Utils::value(reply).rows_size() != 1)
        fail("an accepted job is not in the table", {});
    Schema::JobRow job;
    if (!job.ParseFromString(Utils::value(reply).rows(0).value()))
        fail("an accepted job cannot be read", {});
    std::uint64_t nextTask = 0;
    for (const Schema::JobPart& part : job.parts()) {
        if (part.first() != nextTask)
            fail("parts do not follow each other", job.ShortDebugString());
        nextTask += part.count();
    }
    if (job.reason().empty() && nextTask != job.spec().count())
        fail("parts do not cover the job", job.ShortDebugString());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    Platform::MemoryTable table;
    addShard(table, "rack-1", 32, 125000);
    addShard(table, "rack-2", 64, 250000);
    Batch::JobApi api(table);
    const Batch::JobResponse answer = api.handle("POST", "/v1/jobs", text, submittedUnixMs);
    if (answer.body.empty())
        fail("no body", std::to_string(answer.status));
    if (answer.status >= 500)
        fail("a submission is answered as a fault of ours", answer.body);
    if (answer.status == 201)
        checkParts(table);
    (void)api.handle("GET", text, "", submittedUnixMs);
    (void)api.handle("DELETE", text, "", submittedUnixMs);
    return 0;
}
