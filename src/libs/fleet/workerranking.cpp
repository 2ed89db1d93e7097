#include "workerranking.h"

#include "interferenceview.h"
#include "job.h"
#include "worker.h"

#include <utility>

namespace Fleet {

WorkerRanking::WorkerRanking(std::span<Worker* const> workers)
    : workers_(workers)
{
}

// Whether the choice for the task depends on the same properties with the same values.
bool WorkerRanking::isLikeRanked(const Task& task, const SearchTerms& terms) const
{
    return ranked_ && ranked_->job == task.job && ranked_->occurrence == task.occurrence
        && ranked_->step == task.step && terms_ == terms && (ranked_->failures > 0) == (task.failures > 0)
        && ranked_->avoidedWorker == task.avoidedWorker && ranked_->crashedAddress == task.crashedAddress
        && ranked_->crashes == task.crashes && ranked_->isProven == task.isProven;
}

Worker* WorkerRanking::choose(const Task& task, const InterferenceView& view, Utils::TimePoint now)
{
    const SearchTerms terms = searchTermsOf(task, workers_, now, view.steps);
    if (isLikeRanked(task, terms)) {
        for (const std::size_t position : std::exchange(changed_, {})) {
            if (costs_[position])
                ranking_.erase({ *costs_[position], position });
            rank(task, position, view, now);
        }
    } else {
        ranked_ = &task;
        terms_ = terms;
        ranking_.clear();
        changed_.clear();
        costs_.assign(workers_.size(), std::nullopt);
        for (std::size_t position = 0; position < workers_.size(); ++position)
            rank(task, position, view, now);
    }
    return ranking_.empty() ? nullptr : workers_[ranking_.begin()->second];
}

void WorkerRanking::rank(
    const Task& task, std::size_t position, const InterferenceView& view, Utils::TimePoint now)
{
    costs_[position] = placementCost(task, *workers_[position], view, terms_, now);
    if (costs_[position])
        ranking_.insert({ *costs_[position], position });
}

void WorkerRanking::onTasksChanged(const Worker& worker)
{
    if (positions_.empty()) {
        for (std::size_t position = 0; position < workers_.size(); ++position)
            positions_[workers_[position]] = position;
    }
    if (const auto found = positions_.find(&worker); found != positions_.end())
        changed_.push_back(found->second);
}

} // namespace Fleet
