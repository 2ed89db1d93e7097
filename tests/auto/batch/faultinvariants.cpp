// Invariant checks of FaultSimulation.

#include "faultsimulation.h"

#include <batch/rowkeys.h>

namespace Testing {

std::string attemptName(const Batch::AttemptId& id)
{
    return id.job + "/" + std::to_string(id.task) + "/" + std::to_string(id.attempt);
}

void FaultSimulation::recordCommittedEnds(const Schema::CommitRequest& request)
{
    for (const Schema::RowPut& put : request.puts()) {
        Schema::JournalSegment segment;
        if (!put.key().starts_with(Batch::journalPrefix(shardName)) || !segment.ParseFromString(put.value()))
            continue;
        for (const Schema::TaskRecord& task : segment.tasks()) {
            if (task.ended_attempt() == 0)
                continue;
            const Batch::AttemptId id { task.job(), task.task(), task.ended_attempt() };
            const auto [position, isNew] = recordedEnds_.try_emplace(id, task.ended_as());
            if (!isNew && position->second != task.ended_as())
                violations_.push_back(attemptName(id) + " was recorded with two ends");
        }
    }
}

std::vector<std::string> FaultSimulation::checkInvariants()
{
    if (!allFinished())
        violations_.emplace_back("a task was lost: not all jobs are finished");
    std::map<std::pair<std::string, std::uint32_t>, std::vector<AttemptRun>> tasks;
    for (const AttemptRun& run : runs_)
        tasks[{ run.attempt.job, run.attempt.task }].push_back(run);
    for (const auto& [key, runs] : tasks)
        checkTask(runs, violations_);
    return violations_;
}

void FaultSimulation::checkTask(
    const std::vector<AttemptRun>& runs, std::vector<std::string>& violations) const
{
    std::map<std::string, int> resumeCounts;
    std::string latestCheckpoint;
    bool done = false;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const AttemptRun& run = runs[index];
        for (std::size_t before = 0; before < index; ++before) {
            if (runs[before].attempt == run.attempt)
                violations.push_back(attemptName(run.attempt) + " started twice");
            if (runs[before].endedAt > run.startedAt)
                violations.push_back(
                    attemptName(run.attempt) + " ran while " + attemptName(runs[before].attempt) + " did");
        }
        if (done)
            violations.push_back(attemptName(run.attempt) + " ran after the task was done");
        if (run.resumedFrom != latestCheckpoint)
            violations.push_back(attemptName(run.attempt) + " resumed from '" + run.resumedFrom + "', not '"
                + latestCheckpoint + "'");
        const auto recorded = recordedEnds_.find(run.attempt);
        if (recorded == recordedEnds_.end())
            continue;
        const bool endCounts = recorded->second != Schema::ATTEMPT_LAPSED;
        if (!run.resumedFrom.empty() && endCounts && ++resumeCounts[run.resumedFrom] > 1)
            violations.push_back("checkpoint " + run.resumedFrom + " was resumed twice");
        if (recorded->second == Schema::ATTEMPT_CHECKPOINTED)
            latestCheckpoint = run.writtenCheckpoint;
        if (recorded->second != Schema::ATTEMPT_SUCCEEDED)
            continue;
        done = run.attempt.job.starts_with("batch");
        latestCheckpoint.clear();
    }
}

} // namespace Testing
