#include "interference.h"

#include "job.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Weight of the latest sample in a task's own utilization: its load swings within some ten seconds.
constexpr double ownGain = 0.4;
// Utilization kept free when work is placed, as the own load may rise while the work runs.
constexpr double placementMargin = 0.15;
// Utilization kept free when speeds are chosen.
constexpr double paceMargin = 0.05;
// Speeds are chosen in steps of this size, so that small changes of the load cost no orders.
constexpr int paceStep = 25;
// A task over its target for so long is relieved of all that disturbs it, whatever the model says.
constexpr milliseconds patience { 2200 };
// Utilization so small that slowing its cause down brings nothing.
constexpr double negligible = 0.01;

const std::string& imageOf(const Task& task)
{
    return task.job->step(task).image();
}

bool isServing(const Task& task)
{
    return task.job->step(task).tail_target_ms() > 0;
}

bool isFilling(const Task& task)
{
    return task.job->step(task).leftover_processors();
}

double shareOf(const FleetSchema::StepSpec& step, const Worker& worker)
{
    return static_cast<double>(step.milli_processors())
        / static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
}

double limitOf(const Task& task, const TailModel& model)
{
    return model.limit(imageOf(task), task.job->step(task).tail_target_ms());
}

// What the work beside uses by its report, or asks for while it has none.
std::vector<ImageShare> reportedShares(const Worker& worker)
{
    std::vector<ImageShare> shares;
    for (const Task* task : worker.tasks) {
        if (!isFilling(*task) || task->phase != TaskPhase::Running || task->load <= 0)
            continue;
        shares.push_back({ imageOf(*task),
            static_cast<double>(task->load) / static_cast<double>(worker.info.milliProcessors) });
    }
    return shares;
}

std::vector<ImageShare> orderedShares(const Worker& worker)
{
    std::vector<ImageShare> shares;
    for (const Task* task : worker.tasks) {
        if (isFilling(*task))
            shares.push_back({ imageOf(*task), shareOf(task->job->step(*task), worker) * task->pace / 100 });
    }
    return shares;
}

} // namespace

void observeTails(Worker& worker, TailModel& model, Utils::TimePoint now)
{
    const std::vector<ImageShare> beside = reportedShares(worker);
    for (Task* task : worker.tasks) {
        if (!isServing(*task) || task->phase != TaskPhase::Running || task->percent < 100 || task->load <= 0)
            continue;
        model.learn(imageOf(*task), beside, static_cast<double>(task->load));
        const double total = model.utilization(imageOf(*task), static_cast<double>(task->load));
        const double own = std::max(0.0, total - model.pressureOf(imageOf(*task), beside));
        task->ownUtilization += ownGain * (own - task->ownUtilization);
        if (task->load <= static_cast<std::int64_t>(task->job->step(*task).tail_target_ms()))
            task->overTargetSince = {};
        else if (task->overTargetSince == Utils::TimePoint {})
            task->overTargetSince = now;
    }
}

double headroomWith(
    const Worker& worker, const FleetSchema::StepSpec& step, const TailModel& model, double pace)
{
    if (worker.servingTasks == 0)
        return 1;
    const std::vector<ImageShare> beside = orderedShares(worker);
    const double share = shareOf(step, worker) * pace;
    // A task that is started slowed down follows the load from the start.
    const double margin = pace < 1 ? paceMargin : placementMargin;
    double least = 1;
    for (const Task* task : worker.tasks) {
        if (!isServing(*task))
            continue;
        const double added = share * model.pressure(imageOf(*task), step.image());
        const double headroom = limitOf(*task, model) - margin - task->ownUtilization
            - model.pressureOf(imageOf(*task), beside) - added;
        // What adds next to nothing is no reason to leave the room unused.
        if (added > negligible)
            least = std::min(least, headroom);
    }
    return least;
}

bool isOverTargetForLong(const Task& task, Utils::TimePoint now)
{
    return task.overTargetSince != Utils::TimePoint {} && now - task.overTargetSince > patience;
}

double addedBy(const Worker& worker, const FleetSchema::StepSpec& step, const TailModel& model)
{
    double most = 0;
    for (const Task* task : worker.tasks) {
        if (isServing(*task))
            most = std::max(most, model.pressure(imageOf(*task), step.image()));
    }
    return most * shareOf(step, worker);
}

std::vector<PaceChange> choosePaces(const Worker& worker, const TailModel& model, Utils::TimePoint now)
{
    std::vector<PaceChange> wanted;
    for (Task* task : worker.tasks) {
        if (isFilling(*task) && task->phase == TaskPhase::Running)
            wanted.push_back({ task, 100 });
    }
    if (wanted.empty())
        return wanted;
    for (const Task* serving : worker.tasks) {
        if (!isServing(*serving) || serving->phase != TaskPhase::Running)
            continue;
        const auto contribution = [&](const PaceChange& change) {
            return shareOf(change.task->job->step(*change.task), worker)
                * model.pressure(imageOf(*serving), imageOf(*change.task));
        };
        std::sort(wanted.begin(), wanted.end(), [&](const PaceChange& left, const PaceChange& right) {
            return contribution(left) > contribution(right);
        });
        const bool isLost = isOverTargetForLong(*serving, now);
        double excess = serving->ownUtilization - limitOf(*serving, model) + paceMargin;
        for (const PaceChange& change : wanted)
            excess += contribution(change) * change.percent / 100;
        for (PaceChange& change : wanted) {
            if (isLost) {
                change.percent = 0;
                continue;
            }
            while (excess > 0 && change.percent > 0 && contribution(change) > negligible) {
                change.percent -= paceStep;
                excess -= contribution(change) * paceStep / 100;
            }
        }
    }
    std::erase_if(wanted, [](const PaceChange& change) { return change.percent == change.task->pace; });
    return wanted;
}

} // namespace Fleet
