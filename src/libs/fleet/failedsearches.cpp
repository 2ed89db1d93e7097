#include "failedsearches.h"

#include "job.h"
#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

namespace {

// Bounds the time of a lookup.
constexpr std::size_t maxSearches = 64;

} // namespace

// Whether the choice of a worker depends only on what isAtLeastAsDemanding() compares. Tasks of a job that
// crashed workers are kept apart from tasks of other jobs.
bool FailedSearches::isComparable(const Task& task) const
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    return !step.lasting() && !step.gang() && step.max_per_worker() == 0 && !hasCrashes(*task.job);
}

// Examines all tasks of a job once, as a job may have as many steps as tasks.
bool FailedSearches::hasCrashes(const Job& job) const
{
    const auto [entry, isNew] = jobsWithCrashes_.try_emplace(&job, false);
    if (isNew) {
        entry->second = std::any_of(
            job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.crashes > 0; });
    }
    return entry->second;
}

bool FailedSearches::isAtLeastAsDemanding(const Search& search, const Search& failed)
{
    const FleetSchema::StepSpec& step = search.task->job->step(*search.task);
    const FleetSchema::StepSpec& failedStep = failed.task->job->step(*failed.task);
    const bool isSameKind = step.leftover_processors() == failedStep.leftover_processors()
        && search.task->job->spec.service() == failed.task->job->spec.service()
        && (failedStep.required_label().empty() || failedStep.required_label() == step.required_label())
        && (failed.terms.mayProbe || !search.terms.mayProbe);
    if (!isSameKind || !committedSize(failedStep).fitsIn(committedSize(step)))
        return false;
    if (!step.leftover_processors())
        return true;
    return step.image() == failedStep.image() && step.milli_processors() >= failedStep.milli_processors()
        && search.terms.speed >= failed.terms.speed
        && (failed.terms.mayStartThrottledToZero || !search.terms.mayStartThrottledToZero);
}

bool FailedSearches::includes(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now) const
{
    if (searches_.empty() || !isComparable(task))
        return false;
    const Search search { &task, searchTermsOf(task, workers, now) };
    return std::any_of(searches_.begin(), searches_.end(),
        [&](const Search& failed) { return isAtLeastAsDemanding(search, failed); });
}

void FailedSearches::add(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now)
{
    if (searches_.size() < maxSearches && isComparable(task))
        searches_.push_back({ &task, searchTermsOf(task, workers, now) });
}

} // namespace Fleet
