#include "failedsearches.h"

#include "crashpolicy.h"
#include "job.h"
#include "stepbudget.h"
#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

namespace {

// Bounds the time of a lookup.
constexpr std::size_t maxSearches = 64;

bool isSibling(const Task& task, const Task& other)
{
    return task.job == other.job && task.occurrence == other.occurrence && task.step == other.step;
}

bool hasSameHistory(const Task& task, const Task& other)
{
    return task.waitingSince == other.waitingSince && task.idleSince == other.idleSince
        && (task.failures > 0) == (other.failures > 0) && isolationOf(task) == isolationOf(other);
}

} // namespace

// Whether the choice of a worker depends only on what isAtLeastAsDemanding() compares. Tasks of a job that
// crashed workers are kept apart from tasks of other jobs.
bool FailedSearches::isComparable(const Task& task) const
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    return !step.gang() && step.max_per_worker() == 0 && !hasCrashes(*task.job);
}

// Examines all tasks of a job once, as a job may have as many steps as tasks.
bool FailedSearches::hasCrashes(const Job& job) const
{
    const auto [entry, isNew] = jobsWithCrashes_.try_emplace(&job, false);
    if (isNew) {
        if (steps_)
            steps_->spend(StepKind::Search, job.tasks.size());
        entry->second = std::any_of(
            job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.suspectedCrashes() > 0; });
    }
    return entry->second;
}

bool FailedSearches::acceptsNoMore(const SearchTerms& terms, const SearchTerms& failed)
{
    return terms.speed >= failed.speed && (failed.mayStartThrottledToZero || !terms.mayStartThrottledToZero)
        && (failed.mayProbe || !terms.mayProbe);
}

bool FailedSearches::isAtLeastAsDemanding(const Search& search, const Search& failed)
{
    const FleetSchema::StepSpec& step = search.task->job->step(*search.task);
    const FleetSchema::StepSpec& failedStep = failed.task->job->step(*failed.task);
    // Capacity that is reserved for long-running tasks is not free for others.
    const bool mayUseAsMuch = !step.lasting() || failedStep.lasting();
    const bool isSameKind = mayUseAsMuch && step.leftover_processors() == failedStep.leftover_processors()
        && search.task->job->spec.service() == failed.task->job->spec.service()
        && (failedStep.required_label().empty() || failedStep.required_label() == step.required_label());
    if (!isSameKind || !committedSize(failedStep).fitsIn(committedSize(step))
        || !acceptsNoMore(search.terms, failed.terms))
        return false;
    return !step.leftover_processors()
        || (step.image() == failedStep.image() && step.milli_processors() >= failedStep.milli_processors());
}

// Tasks of one step differ only in what they have been through. One that failed or crashed its worker must
// not keep the others from workers that only it has to avoid.
bool FailedSearches::hasFailedSibling(const Search& search) const
{
    return std::any_of(siblings_.begin(), siblings_.end(), [&](const Search& failed) {
        return isSibling(*search.task, *failed.task) && isolationOf(*search.task) == isolationOf(*failed.task)
            && acceptsNoMore(search.terms, failed.terms);
    });
}

// Most tasks of a wide step are alike; what each of them accepts need not be determined.
bool FailedSearches::hasFailedTwin(const Task& task) const
{
    return std::any_of(siblings_.begin(), siblings_.end(), [&](const Search& failed) {
        return isSibling(task, *failed.task) && hasSameHistory(task, *failed.task);
    });
}

bool FailedSearches::includesOtherStep(const Search& search) const
{
    return isComparable(*search.task)
        && std::any_of(searches_.begin(), searches_.end(),
            [&](const Search& failed) { return isAtLeastAsDemanding(search, failed); });
}

bool FailedSearches::includes(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now) const
{
    if (hasFailedTwin(task))
        return true;
    const bool mayHaveFailedSibling = !siblings_.empty() && isSibling(task, *siblings_.front().task);
    if (!mayHaveFailedSibling && (searches_.empty() || !isComparable(task)))
        return false;
    const Search search { &task, searchTermsOf(task, workers, now, steps_) };
    return hasFailedSibling(search) || includesOtherStep(search);
}

void FailedSearches::add(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now)
{
    if (hasFailedTwin(task))
        return;
    const Search search { &task, searchTermsOf(task, workers, now, steps_) };
    if (hasFailedSibling(search))
        return;
    if (!siblings_.empty() && !isSibling(task, *siblings_.front().task))
        siblings_.clear();
    siblings_.push_back(search);
    if (searches_.size() < maxSearches && isComparable(task) && !includesOtherStep(search))
        searches_.push_back(search);
}

} // namespace Fleet
