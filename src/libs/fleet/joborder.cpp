#include "joborder.h"

namespace Fleet {

namespace {

// A job that ends later than three times its objective is worth nothing to its caller any more.
constexpr int worthlessFactor = 3;

} // namespace

JobRank rankJob(const JobUrgency& urgency)
{
    JobRank rank;
    rank.priority = urgency.priority;
    rank.slack = urgency.objective - urgency.age - urgency.remaining;
    if (urgency.isLasting)
        return rank;
    if (urgency.age + urgency.remaining > worthlessFactor * urgency.objective)
        rank.lateness = 2;
    else if (rank.slack < Utils::Duration::zero())
        rank.lateness = 1;
    return rank;
}

} // namespace Fleet
