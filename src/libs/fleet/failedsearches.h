#pragma once

#include "workerchoice.h"

#include "utils/clock.h"

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace Fleet {

class StepBudget;
struct Job;
struct Task;
struct Worker;

/*!
    Remembers the tasks for which a scheduling pass has found no worker.

    Capacity only decreases during a pass, so a task that needs at least as much of the same as such a task
   does not find a worker either. Under overload, most tasks that wait are passed over in this way; comparing
   each of them with all workers would take most of an owner's processor time just when there is the most to
   do.
*/
class FailedSearches {
public:
    /*! \param steps counts the workers and tasks examined; may be null, else it must outlive the object. */
    explicit FailedSearches(StepBudget* steps = nullptr)
        : steps_(steps)
    {
    }

    /*! \return whether a search for the task is known to fail. */
    bool includes(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now) const;

    /*! Adds a task for which no worker was found, unless searches for it are known to fail. */
    void add(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now);

private:
    /*! A task without a worker and what it accepted. */
    struct Search {
        const Task* task = nullptr;
        SearchTerms terms;
    };

    bool isComparable(const Task& task) const;
    bool hasCrashes(const Job& job) const;
    static bool acceptsNoMore(const SearchTerms& terms, const SearchTerms& failed);
    static bool isAtLeastAsDemanding(const Search& search, const Search& failed);
    bool hasFailedSibling(const Search& search) const;
    bool hasFailedTwin(const Task& task) const;
    bool includesOtherStep(const Search& search) const;

    StepBudget* steps_ = nullptr;
    std::vector<Search> searches_;
    std::vector<Search> siblings_; //!< Those of the step that was searched for last.
    mutable std::unordered_map<const Job*, bool> jobsWithCrashes_; //!< Of the jobs examined so far.
};

} // namespace Fleet
