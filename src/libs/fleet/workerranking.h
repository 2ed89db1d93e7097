#pragma once

#include "workerchoice.h"

#include "utils/clock.h"

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Fleet {

struct InterferenceView;
struct Task;
struct Worker;

/*!
    Ranks workers for a series of like tasks, such as those of one step.

    Choosing a worker for the first task of each history examines all workers; for each further one, only
   those to which an attempt was added, and those that only one of the tasks avoids. The choices are those of
   chooseWorker().
*/
class WorkerRanking {
public:
    /*! \param workers must outlive the ranking. */
    explicit WorkerRanking(std::span<Worker* const> workers);

    /*! \return the worker that chooseWorker() would choose. */
    Worker* choose(const Task& task, const InterferenceView& view, Utils::TimePoint now);

    /*! Must be called after an attempt was added to or removed from a worker. */
    void onTasksChanged(const Worker& worker);

private:
    using Rank = std::pair<double, std::size_t>; //!< Cost and position among the workers.
    using Positions = std::unordered_multimap<std::string_view, std::size_t>;

    /*! Ranks for tasks of one step that have been through the same. */
    struct Table {
        const Task* task = nullptr; //!< Task for which the workers are ranked, but for those in changed.
        SearchTerms terms;
        std::set<Rank> ranking;
        std::vector<std::optional<double>> costs; //!< By position; empty: the worker does not fit.
        std::vector<std::size_t> changed; //!< Positions of workers to examine again.
    };

    static bool isFor(const Table& table, const Task& task, const SearchTerms& terms);
    Table& addTable(
        const Task& task, const SearchTerms& terms, const InterferenceView& view, Utils::TimePoint now);
    void notePositions();
    void noteAvoided(Table& table, const Task& task);
    void rank(Table& table, std::size_t position, const InterferenceView& view, Utils::TimePoint now) const;

    std::span<Worker* const> workers_;
    std::vector<Table> tables_; //!< Of one step.
    Positions positionsById_; //!< Empty until needed, as the next one.
    Positions positionsByAddress_;
};

} // namespace Fleet
