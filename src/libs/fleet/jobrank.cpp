#include "jobrank.h"

namespace Fleet {

namespace {

// A job that ends later than three times its objective is worth nothing to its caller any more.
constexpr int worthlessAfterFactor = 3;

// Percent of its objective that a job must have to spare to be begun before others: work is held up by
// failures and by work before it, so a job begun with less mostly ends late, and others with it.
constexpr int startMarginPercent = 15;

} // namespace

JobRank rankJob(const JobUrgency& urgency)
{
    JobRank rank;
    rank.priority = urgency.priority;
    rank.slack = urgency.objective - urgency.age - urgency.remainingWork;
    if (urgency.isLongRunning)
        return rank;
    if (urgency.age + urgency.remainingWork > worthlessAfterFactor * urgency.objective)
        rank.lateness = 2;
    else if (rank.slack
        < (urgency.isStarted ? Utils::Duration::zero() : urgency.objective * startMarginPercent / 100))
        rank.lateness = 1;
    return rank;
}

} // namespace Fleet
