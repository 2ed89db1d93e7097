#include "jobrows.h"

#include <algorithm>
#include <cctype>

namespace Fleet {

namespace {

constexpr char partSeparator = '/';

// Upper bound on the serialized record of one task: the identifier of its worker has up to 200 bytes, its
// checkpoint maxCheckpointBytes, and all other fields together less than the rest.
constexpr std::size_t maxTaskRecordBytes = 512;
// Upper bound on what a job's record holds beside its specification and tasks, and on what the shard adds to
// the specification.
constexpr std::size_t maxOtherBytes = 512;
// The store accepts 1 MB in a transaction, in which each byte of a value takes 4/3 of a byte. The rest is for
// the row of the shard's owner.
constexpr std::size_t maxJobBytes = 700'000;

FleetSchema::JobRecord withoutParts(const FleetSchema::JobRecord& record)
{
    FleetSchema::JobRecord first;
    *first.mutable_spec() = record.spec();
    first.mutable_spec()->clear_steps();
    first.set_state(record.state());
    first.set_started(record.started());
    first.set_ended_unix_ms(record.ended_unix_ms());
    first.set_origin_shard(record.origin_shard());
    return first;
}

// Fills parts with as many steps as each can hold.
void addSteps(
    const FleetSchema::JobRecord& record, std::size_t maxRowBytes, std::vector<FleetSchema::JobRecord>& parts)
{
    // A step takes a tag and its length beside its fields.
    constexpr std::size_t stepOverhead = 8;
    std::size_t bytes = maxRowBytes;
    for (const FleetSchema::StepSpec& step : record.spec().steps()) {
        const std::size_t stepBytes = step.ByteSizeLong() + stepOverhead;
        if (bytes + stepBytes + maxOtherBytes > maxRowBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        *parts.back().mutable_spec()->add_steps() = step;
        bytes += stepBytes;
    }
}

void addTasks(
    const FleetSchema::JobRecord& record, std::size_t maxRowBytes, std::vector<FleetSchema::JobRecord>& parts)
{
    const int tasksInPart = std::max(1, static_cast<int>((maxRowBytes - maxOtherBytes) / maxTaskRecordBytes));
    for (int position = 0; position < record.tasks_size(); ++position) {
        if (position % tasksInPart == 0)
            parts.emplace_back();
        *parts.back().add_tasks() = record.tasks(position);
    }
}

} // namespace

bool isJobId(std::string_view id)
{
    return !id.empty() && id.size() <= maxJobIdBytes
        && std::all_of(id.begin(), id.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_';
           });
}

std::string jobPartKey(std::string_view job, std::uint32_t number)
{
    return std::string(job) + partSeparator + std::to_string(number);
}

std::vector<JobRow> toJobRows(const FleetSchema::JobRecord& record, std::size_t maxRowBytes)
{
    const std::string& job = record.spec().id();
    if (record.ByteSizeLong() <= maxRowBytes)
        return { { job, record.SerializeAsString() } };
    std::vector<FleetSchema::JobRecord> parts;
    addSteps(record, maxRowBytes, parts);
    addTasks(record, maxRowBytes, parts);
    FleetSchema::JobRecord first = withoutParts(record);
    first.set_part_count(static_cast<std::uint32_t>(parts.size()));
    std::vector<JobRow> rows { { job, first.SerializeAsString() } };
    for (FleetSchema::JobRecord& part : parts) {
        const auto number = static_cast<std::uint32_t>(rows.size());
        part.set_part_number(number);
        rows.push_back({ jobPartKey(job, number), part.SerializeAsString() });
    }
    return rows;
}

std::string validateJobSize(const FleetSchema::JobSpec& spec, std::size_t maxRowBytes)
{
    std::size_t stepBytes = 0;
    std::size_t largestStep = 0;
    std::size_t taskCount = 0;
    for (const FleetSchema::StepSpec& step : spec.steps()) {
        stepBytes += step.ByteSizeLong();
        largestStep = std::max(largestStep, step.ByteSizeLong());
        taskCount += step.count();
    }
    taskCount *= std::max<std::size_t>(1, spec.occurrences());
    if (largestStep + 2 * maxOtherBytes > maxRowBytes)
        return "a step is too large to be stored";
    if (spec.ByteSizeLong() - stepBytes + maxOtherBytes > maxRowBytes)
        return "the job is too large to be stored, apart from its steps";
    if (spec.ByteSizeLong() + taskCount * maxTaskRecordBytes > maxJobBytes)
        return "the steps and tasks together are too large to be stored";
    return {};
}

std::optional<FleetSchema::JobRecord> JobRowReader::read(const std::string& key, const std::string& value)
{
    FleetSchema::JobRecord record;
    if (!record.ParseFromString(value)) {
        unreadable_.push_back(key);
        return std::nullopt;
    }
    const bool isPart = record.part_number() > 0;
    if (!isPart && record.part_count() == 0)
        return record;
    const std::string job = key.substr(0, key.find(partSeparator));
    Parts& parts = incomplete_[job];
    if (isPart)
        parts.others[record.part_number()] = std::move(record);
    else
        parts.first = std::move(record);
    if (!parts.first || parts.others.size() < parts.first->part_count())
        return std::nullopt;
    FleetSchema::JobRecord complete = std::move(*parts.first);
    for (auto& [number, part] : parts.others) {
        part.clear_part_number();
        complete.MergeFrom(part);
    }
    incomplete_.erase(job);
    return complete;
}

std::vector<std::string> JobRowReader::incompleteRows() const
{
    std::vector<std::string> keys = unreadable_;
    for (const auto& [job, parts] : incomplete_) {
        if (parts.first)
            keys.push_back(job);
        for (const auto& [number, part] : parts.others)
            keys.push_back(jobPartKey(job, number));
    }
    return keys;
}

} // namespace Fleet
