// What the fault test takes for a fault.

#include "faultworld.h"

#include <batch/rowkeys.h>

namespace Testing {

std::string text(const Batch::AttemptId& id)
{
    return id.job + "/" + std::to_string(id.task) + "/" + std::to_string(id.attempt);
}

void FaultWorld::observe(const Schema::CommitRequest& request)
{
    for (const Schema::RowPut& put : request.puts()) {
        Schema::JournalSegment segment;
        if (!put.key().starts_with(Batch::journalPrefix(shardName)) || !segment.ParseFromString(put.value()))
            continue;
        for (const Schema::TaskRecord& task : segment.tasks()) {
            if (task.ended_attempt() == 0)
                continue;
            const Batch::AttemptId id { task.job(), task.task(), task.ended_attempt() };
            const auto [place, isNew] = recordedEnds_.try_emplace(id, task.ended_as());
            if (!isNew && place->second != task.ended_as())
                faults_.push_back(text(id) + " was recorded with two ends");
        }
    }
}

std::vector<std::string> FaultWorld::judge()
{
    if (!allFinished())
        faults_.emplace_back("a task was lost: not all jobs are finished");
    std::map<std::pair<std::string, std::uint32_t>, std::vector<Run>> tasks;
    for (const Run& run : runs_)
        tasks[{ run.attempt.job, run.attempt.task }].push_back(run);
    for (const auto& [key, runs] : tasks)
        judgeTask(runs, faults_);
    return faults_;
}

void FaultWorld::judgeTask(const std::vector<Run>& runs, std::vector<std::string>& faults) const
{
    std::map<std::string, int> resumed;
    std::string latest;
    bool done = false;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const Run& run = runs[index];
        for (std::size_t before = 0; before < index; ++before) {
            if (runs[before].attempt == run.attempt)
                faults.push_back(text(run.attempt) + " started twice");
            if (runs[before].to > run.from)
                faults.push_back(text(run.attempt) + " ran while " + text(runs[before].attempt) + " did");
        }
        if (done)
            faults.push_back(text(run.attempt) + " ran after the task was done");
        if (run.resumedFrom != latest)
            faults.push_back(
                text(run.attempt) + " resumed from '" + run.resumedFrom + "', not '" + latest + "'");
        const auto recorded = recordedEnds_.find(run.attempt);
        if (recorded == recordedEnds_.end())
            continue;
        const bool counts = recorded->second != Schema::ATTEMPT_LAPSED;
        if (!run.resumedFrom.empty() && counts && ++resumed[run.resumedFrom] > 1)
            faults.push_back("checkpoint " + run.resumedFrom + " was resumed twice");
        if (recorded->second == Schema::ATTEMPT_CHECKPOINTED)
            latest = run.wrote;
        if (recorded->second != Schema::ATTEMPT_SUCCEEDED)
            continue;
        done = run.attempt.job.starts_with("batch");
        latest.clear();
    }
}

} // namespace Testing
