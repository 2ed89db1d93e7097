#include "workerranking.h"

#include "interferenceview.h"
#include "job.h"
#include "worker.h"

#include <algorithm>
#include <utility>

namespace Fleet {

namespace {

// More kinds of histories in one step are rare; the oldest ranks are dropped.
constexpr std::size_t maxTables = 16;

bool areOfOneStep(const Task& left, const Task& right)
{
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

} // namespace

WorkerRanking::WorkerRanking(std::span<Worker* const> workers)
    : workers_(workers)
{
}

// Whether the choice for the task depends on the same properties with the same values, but for the workers
// that it avoids.
bool WorkerRanking::isFor(const Table& table, const Task& task, const SearchTerms& terms)
{
    return table.terms == terms && (table.task->failures > 0) == (task.failures > 0)
        && table.task->suspectedCrashes() == task.suspectedCrashes() && table.task->isProven == task.isProven;
}

Worker* WorkerRanking::choose(const Task& task, const InterferenceView& view, Utils::TimePoint now)
{
    const SearchTerms terms = searchTermsOf(task, workers_, now, view.steps);
    if (!tables_.empty() && !areOfOneStep(*tables_.front().task, task))
        tables_.clear();
    const auto known = std::find_if(
        tables_.begin(), tables_.end(), [&](const Table& table) { return isFor(table, task, terms); });
    Table& table = known == tables_.end() ? addTable(task, terms, view, now) : *known;
    noteAvoided(table, task);
    table.task = &task;
    for (const std::size_t position : std::exchange(table.changed, {})) {
        if (table.costs[position])
            table.ranking.erase({ *table.costs[position], position });
        rank(table, position, view, now);
    }
    return table.ranking.empty() ? nullptr : workers_[table.ranking.begin()->second];
}

WorkerRanking::Table& WorkerRanking::addTable(
    const Task& task, const SearchTerms& terms, const InterferenceView& view, Utils::TimePoint now)
{
    if (tables_.size() >= maxTables)
        tables_.erase(tables_.begin());
    Table& table = tables_.emplace_back();
    table.task = &task;
    table.terms = terms;
    table.costs.resize(workers_.size());
    for (std::size_t position = 0; position < workers_.size(); ++position)
        rank(table, position, view, now);
    return table;
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

// Workers that only one of the tasks avoids cost another amount for the other one.
void WorkerRanking::noteAvoided(Table& table, const Task& task)
{
    const Task& ranked = *table.task;
    const bool avoidsOthers = ranked.avoidedWorker != task.avoidedWorker;
    // Only after a crash.
    const bool avoidsOtherAddress
        = task.suspectedCrashes() > 0 && ranked.crashedAddress != task.crashedAddress;
    if (!avoidsOthers && !avoidsOtherAddress)
        return;
    notePositions();
    const auto examineAgain = [&table](const Positions& positions, const std::string& key) {
        const auto [begin, end] = positions.equal_range(key);
        for (auto entry = begin; entry != end; ++entry)
            table.changed.push_back(entry->second);
    };
    if (avoidsOthers) {
        examineAgain(positionsById_, ranked.avoidedWorker);
        examineAgain(positionsById_, task.avoidedWorker);
    }
    if (avoidsOtherAddress) {
        examineAgain(positionsByAddress_, ranked.crashedAddress);
        examineAgain(positionsByAddress_, task.crashedAddress);
    }
}

void WorkerRanking::rank(
    Table& table, std::size_t position, const InterferenceView& view, Utils::TimePoint now) const
{
    table.costs[position] = placementCost(*table.task, *workers_[position], view, table.terms, now);
    if (table.costs[position])
        table.ranking.insert({ *table.costs[position], position });
}

void WorkerRanking::onTasksChanged(const Worker& worker)
{
    notePositions();
    const auto found = positionsById_.find(worker.info.id);
    if (found == positionsById_.end())
        return;
    for (Table& table : tables_)
        table.changed.push_back(found->second);
}

} // namespace Fleet
