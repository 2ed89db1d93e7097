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
    Correct,
    CompactsWithoutCopy, // Drops all task records from each write that deletes old segments.
};

using Tasks = std::map<Batch::TaskKey, std::string>;

// A journal in a table, and plain maps with the content that it must have.
class JournalFixture {
public:
    explicit JournalFixture(Variant variant)
        : variant_(variant)
    {
        row_.set_epoch(1);
    }

    void put(std::uint32_t job, std::uint32_t task, std::uint32_t attempt)
    {
        const std::string id = "job-" + std::to_string(job);
        if (!knownJobs_.contains(id)) {
            Schema::JobRecord record;
            record.set_id(id);
            record.set_count(tasksPerJob);
            journal_.put(record);
            knownJobs_.insert(id);
        }
        if (finishedJobs_.contains(id))
            return;
        Schema::TaskRecord record;
        record.set_job(id);
        record.set_task(task);
        record.set_attempt(attempt);
        journal_.put(record);
        expectedTasks_[{ id, task }] = record.SerializeAsString();
    }

    void finish(std::uint32_t job)
    {
        const std::string id = "job-" + std::to_string(job);
        if (!knownJobs_.contains(id) || finishedJobs_.contains(id))
            return;
        Schema::JobRecord record;
        record.set_id(id);
        record.set_finished(true);
        journal_.put(record);
        finishedJobs_.insert(id);
        std::erase_if(expectedTasks_, [&](const auto& entry) { return entry.first.first == id; });
    }

    void flush()
    {
        Schema::CommitRequest request;
        request.set_write_id("write-" + std::to_string(++writeCount_));
        journal_.prepareFlush(row_, request);
        if (variant_ == Variant::CompactsWithoutCopy && request.deletes_size() > 0) {
            Schema::JournalSegment segment;
            segment.ParseFromString(request.puts(request.puts_size() - 1).value());
            segment.clear_tasks();
            request.mutable_puts(request.puts_size() - 1)->set_value(segment.SerializeAsString());
        }
        for (const Schema::RowPut& put : request.puts())
            maxRowBytes_ = std::max(maxRowBytes_, put.value().size());
        table_.commit(request);
        journal_.onFlushCommitted();
    }

    void flushAll()
    {
        while (journal_.hasBufferedChanges())
            flush();
    }

    // Reloads the journal from the table, as a new owner does.
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

    const Tasks& expectedTasks() const { return expectedTasks_; }
    std::size_t segmentCount() const { return journal_.segmentCount(); }
    std::size_t maxRowBytes() const { return maxRowBytes_; }

private:
    Variant variant_;
    Platform::MemoryTable table_;
    Batch::Journal journal_ { shardName, maxRecords, maxSegments };
    Schema::ShardRow row_;
    Tasks expectedTasks_;
    std::set<std::string> knownJobs_;
    std::set<std::string> finishedJobs_;
    std::size_t maxRowBytes_ = 0;
    int writeCount_ = 0;
};

struct Operation {
    std::uint32_t choice;
    std::uint32_t job;
    std::uint32_t task;
};

rc::Gen<Operation> anyOperation()
{
    return rc::gen::construct<Operation>(
        rc::gen::inRange(0U, 20U), rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, tasksPerJob));
}

bool matchesModel(Variant variant)
{
    return rc::check("a new owner reads all recorded tasks", [variant] {
        JournalFixture fixture(variant);
        std::uint32_t attempt = 0;
        for (const Operation& operation : *rc::gen::container<std::vector<Operation>>(anyOperation())) {
            if (operation.choice == 0)
                fixture.finish(operation.job);
            else if (operation.choice < 8)
                fixture.flush();
            else if (operation.choice > 8)
                fixture.put(operation.job, operation.task, ++attempt);
            if (operation.choice != 8)
                continue;
            fixture.flushAll();
            bool readable = false;
            const Tasks read = fixture.reload(readable);
            RC_ASSERT(readable);
            RC_ASSERT(read == fixture.expectedTasks());
        }
    });
}

} // namespace

TEST_CASE("A new owner reads all recorded tasks")
{
    CHECK(matchesModel(Variant::Correct));
}

TEST_CASE("The model detects a compaction that copies nothing")
{
    CHECK_FALSE(matchesModel(Variant::CompactsWithoutCopy));
}

TEST_CASE("The number and size of segments stay bounded however many attempts are recorded")
{
    JournalFixture fixture(Variant::Correct);
    for (std::uint32_t attempt = 1; attempt <= 20000; ++attempt) {
        fixture.put(attempt % 2, attempt % tasksPerJob, attempt);
        if (attempt % 3 == 0)
            fixture.flush();
    }
    fixture.flushAll();
    CHECK(fixture.segmentCount() <= 4 * maxSegments + 2);
    CHECK(fixture.maxRowBytes() < 4096);
}

TEST_CASE("A journal with a missing segment cannot be loaded")
{
    JournalFixture fixture(Variant::Correct);
    fixture.put(0, 0, 1);
    fixture.flush();
    Schema::ShardRow row;
    row.set_next_segment(3);
    Batch::Journal journal(shardName, maxRecords, maxSegments);
    CHECK_FALSE(journal.load({}, row));
}
