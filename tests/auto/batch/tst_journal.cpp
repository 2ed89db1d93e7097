#include "propertyparameters.h"

#include <batch/journal.h>
#include <batch/rowkeys.h>
#include <platform/memorytable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=11 max_success=200 max_size=300");

const std::string shardName = "north/rack-1";
constexpr std::uint32_t maxRecords = 8;
constexpr std::uint32_t maxSegments = 3;
constexpr std::uint32_t tasksPerJob = 6;

enum class Variant {
    Sound,
    CompactsWithoutCopy, // Deletes old segments and forgets to copy what counts in them.
};

using Tasks = std::map<Batch::TaskKey, std::string>;

// A journal in a table, next to the plain maps that it must equal.
class JournalWorld {
public:
    explicit JournalWorld(Variant variant)
        : variant_(variant)
    {
        row_.set_epoch(1);
    }

    void put(std::uint32_t job, std::uint32_t task, std::uint32_t attempt)
    {
        const std::string id = "job-" + std::to_string(job);
        if (!jobs_.contains(id)) {
            Schema::JobRecord record;
            record.set_id(id);
            record.set_count(tasksPerJob);
            journal_.put(record);
            jobs_.insert(id);
        }
        if (finished_.contains(id))
            return;
        Schema::TaskRecord record;
        record.set_job(id);
        record.set_task(task);
        record.set_attempt(attempt);
        journal_.put(record);
        tasks_[{ id, task }] = record.SerializeAsString();
    }

    void finish(std::uint32_t job)
    {
        const std::string id = "job-" + std::to_string(job);
        if (!jobs_.contains(id) || finished_.contains(id))
            return;
        Schema::JobRecord record;
        record.set_id(id);
        record.set_finished(true);
        journal_.put(record);
        finished_.insert(id);
        std::erase_if(tasks_, [&](const auto& entry) { return entry.first.first == id; });
    }

    void flush()
    {
        Schema::CommitRequest request;
        request.set_write_id("write-" + std::to_string(++writes_));
        journal_.prepare(row_, request);
        if (variant_ == Variant::CompactsWithoutCopy && request.deletes_size() > 0) {
            Schema::JournalSegment segment;
            segment.ParseFromString(request.puts(request.puts_size() - 1).value());
            segment.clear_tasks();
            request.mutable_puts(request.puts_size() - 1)->set_value(segment.SerializeAsString());
        }
        for (const Schema::RowPut& put : request.puts())
            maxBytes_ = std::max(maxBytes_, put.value().size());
        table_.commit(request);
        journal_.committed();
    }

    void flushAll()
    {
        while (journal_.dirty())
            flush();
    }

    // What a new owner reads.
    Tasks reload(bool& readable)
    {
        const auto rows = Utils::value(table_.scan(Batch::journalPrefix(shardName), "", 100000));
        Batch::Journal loaded(shardName, maxRecords, maxSegments);
        readable = loaded.load({ rows.rows().begin(), rows.rows().end() }, row_);
        Tasks tasks;
        for (const auto& [key, record] : loaded.tasks())
            tasks[key] = record.SerializeAsString();
        journal_ = std::move(loaded);
        return tasks;
    }

    const Tasks& expected() const { return tasks_; }
    std::size_t segmentCount() const { return journal_.segmentCount(); }
    std::size_t maxBytes() const { return maxBytes_; }

private:
    Variant variant_;
    Platform::MemoryTable table_;
    Batch::Journal journal_ { shardName, maxRecords, maxSegments };
    Schema::ShardRow row_;
    Tasks tasks_;
    std::set<std::string> jobs_;
    std::set<std::string> finished_;
    std::size_t maxBytes_ = 0;
    int writes_ = 0;
};

struct Operation {
    std::uint32_t kind;
    std::uint32_t job;
    std::uint32_t task;
};

rc::Gen<Operation> operation()
{
    return rc::gen::construct<Operation>(
        rc::gen::inRange(0U, 20U), rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, tasksPerJob));
}

bool equalsOracle(Variant variant)
{
    return rc::check("a new owner reads what was recorded", [variant] {
        JournalWorld world(variant);
        std::uint32_t attempt = 0;
        for (const Operation& step : *rc::gen::container<std::vector<Operation>>(operation())) {
            if (step.kind == 0)
                world.finish(step.job);
            else if (step.kind < 8)
                world.flush();
            else if (step.kind > 8)
                world.put(step.job, step.task, ++attempt);
            if (step.kind != 8)
                continue;
            world.flushAll();
            bool readable = false;
            const Tasks read = world.reload(readable);
            RC_ASSERT(readable);
            RC_ASSERT(read == world.expected());
        }
    });
}

} // namespace

TEST_CASE("A new owner reads what was recorded")
{
    CHECK(equalsOracle(Variant::Sound));
}

TEST_CASE("The oracle sees a compaction that copies nothing")
{
    CHECK_FALSE(equalsOracle(Variant::CompactsWithoutCopy));
}

TEST_CASE("Segments stay few and small however many attempts are recorded")
{
    JournalWorld world(Variant::Sound);
    for (std::uint32_t attempt = 1; attempt <= 20000; ++attempt) {
        world.put(attempt % 2, attempt % tasksPerJob, attempt);
        if (attempt % 3 == 0)
            world.flush();
    }
    world.flushAll();
    CHECK(world.segmentCount() <= 4 * maxSegments + 2);
    CHECK(world.maxBytes() < 4096);
}

TEST_CASE("A missing segment keeps a new owner from serving the shard")
{
    JournalWorld world(Variant::Sound);
    world.put(0, 0, 1);
    world.flush();
    Schema::ShardRow row;
    row.set_next_segment(3);
    Batch::Journal journal(shardName, maxRecords, maxSegments);
    CHECK_FALSE(journal.load({}, row));
}
