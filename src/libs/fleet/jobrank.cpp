#include "jobrank.h"

namespace Fleet {

namespace {

// A job that completes later than three times its objective is of no use to its caller.
constexpr int worthlessAfterFactor = 3;

// Slack, in percent of its objective, that a job needs to be started before others. Failures and earlier
// work cause delays, so a job started with less slack usually ends late and delays others as well.
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
