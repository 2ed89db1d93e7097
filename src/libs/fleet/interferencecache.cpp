#include "interferencecache.h"

#include "interference.h"
#include "job.h"
#include "taillatencymodel.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

InterferenceCache::InterferenceCache(const TailLatencyModel& model)
    : model_(model)
{
}

std::size_t InterferenceCache::indexOf(const std::string& criticalImage)
{
    const auto [entry, isNew] = indexByCriticalImage_.try_emplace(criticalImage, criticalImages_.size());
    if (isNew)
        criticalImages_.push_back(criticalImage);
    return entry->second;
}

const InterferenceCache::PressureRow& InterferenceCache::pressuresOf(std::string_view colocated)
{
    const std::string image(colocated);
    PressureRow& row = pressures_[image];
    while (row.size() < criticalImages_.size()) {
        const std::string& criticalImage = criticalImages_[row.size()];
        row.push_back(
            { model_.pressure(criticalImage, image), model_.isPressureKnown(criticalImage, image) });
    }
    return row;
}

InterferenceCache::Pressure InterferenceCache::pressure(
    const std::string& criticalImage, std::string_view colocated)
{
    const std::size_t index = indexOf(criticalImage);
    return pressuresOf(colocated)[index];
}

const std::vector<InterferenceCache::CriticalTask>& InterferenceCache::criticalTasksOf(const Worker& worker)
{
    const auto [entry, isNew] = criticalTasks_.try_emplace(&worker);
    std::vector<CriticalTask>& tasks = entry->second;
    if (!isNew)
        return tasks;
    const std::vector<ImageShare> colocated = commandedShares(worker);
    for (const Task* task : worker.tasks) {
        const FleetSchema::StepSpec& step = task->job->step(*task);
        if (step.tail_target_ms() == 0)
            continue;
        const std::size_t image = indexOf(step.image());
        double headroom = model_.utilizationLimit(step.image(), step.tail_target_ms()) - task->ownUtilization;
        double added = 0;
        for (const ImageShare& part : colocated)
            added += part.share * pressuresOf(part.image)[image].value;
        headroom -= added;
        tasks.push_back({ image, headroom, added, task });
    }
    return tasks;
}

std::vector<std::size_t> InterferenceCache::criticalImagesOf(const Worker& worker)
{
    std::vector<std::size_t> images;
    for (const CriticalTask& task : criticalTasksOf(worker))
        images.push_back(task.image);
    std::sort(images.begin(), images.end());
    images.erase(std::unique(images.begin(), images.end()), images.end());
    return images;
}

double InterferenceCache::headroomAfterAdding(
    const Worker& worker, const FleetSchema::StepSpec& step, double speed, double variation)
{
    double minHeadroom = 1;
    if (worker.criticalTaskCount == 0)
        return minHeadroom;
    const std::vector<CriticalTask>& tasks = criticalTasksOf(worker);
    const PressureRow& pressures = pressuresOf(step.image());
    const double share = shareOf(step, worker) * speed;
    for (const CriticalTask& task : tasks) {
        const double added = share * pressures[task.image].value;
        if (!isNoticeable(added))
            continue;
        const double margin = marginAtSpeed(*task.task, speed, variation * (task.added + added));
        minHeadroom = std::min(minHeadroom, task.headroom - margin - added);
    }
    return minHeadroom;
}

double InterferenceCache::maxPressure(const Worker& worker, std::string_view colocated)
{
    double maxPressure = 0;
    if (worker.criticalTaskCount == 0)
        return maxPressure;
    const std::vector<CriticalTask>& tasks = criticalTasksOf(worker);
    const PressureRow& pressures = pressuresOf(colocated);
    for (const CriticalTask& task : tasks)
        maxPressure = std::max(maxPressure, pressures[task.image].value);
    return maxPressure;
}

double InterferenceCache::maxAddedUtilization(const Worker& worker, const FleetSchema::StepSpec& step)
{
    return maxPressure(worker, step.image()) * shareOf(step, worker);
}

} // namespace Fleet
