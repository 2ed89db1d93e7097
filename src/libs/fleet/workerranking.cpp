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

void WorkerRanking::notePositions()
{
    if (!positionsById_.empty())
        return;
    for (std::size_t position = 0; position < workers_.size(); ++position) {
        positionsById_.emplace(workers_[position]->info.id, position);
        positionsByAddress_.emplace(workers_[position]->info.address, position);
    }
}

// Whether the choice for the task depends on the same properties with the same values.
bool WorkerRanking::isLikeRanked(const Task& task, const SearchTerms& terms) const
{
    return ranked_ && ranked_->job == task.job && ranked_->occurrence == task.occurrence
        && ranked_->step == task.step && terms_ == terms && (ranked_->failures > 0) == (task.failures > 0)
        && ranked_->crashes == task.crashes && ranked_->isProven == task.isProven;
}

// Workers that only one of the tasks avoids cost another amount for the other one.
void WorkerRanking::onAvoidedChanged(const Task& task)
{
    const bool avoidsOthers = ranked_->avoidedWorker != task.avoidedWorker;
    // Only after a crash.
    const bool avoidsOtherAddress = task.crashes > 0 && ranked_->crashedAddress != task.crashedAddress;
    if (!avoidsOthers && !avoidsOtherAddress)
        return;
    notePositions();
    const auto examineAgain = [this](const Positions& positions, const std::string& key) {
        const auto [begin, end] = positions.equal_range(key);
        for (auto entry = begin; entry != end; ++entry)
            changed_.push_back(entry->second);
    };
    if (avoidsOthers) {
        examineAgain(positionsById_, ranked_->avoidedWorker);
        examineAgain(positionsById_, task.avoidedWorker);
    }
    if (avoidsOtherAddress) {
        examineAgain(positionsByAddress_, ranked_->crashedAddress);
        examineAgain(positionsByAddress_, task.crashedAddress);
    }
}

Worker* WorkerRanking::choose(const Task& task, const InterferenceView& view, Utils::TimePoint now)
{
    const SearchTerms terms = searchTermsOf(task, workers_, now, view.steps);
    if (isLikeRanked(task, terms)) {
        onAvoidedChanged(task);
        ranked_ = &task;
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
    notePositions();
    if (const auto found = positionsById_.find(worker.info.id); found != positionsById_.end())
        changed_.push_back(found->second);
}

} // namespace Fleet
