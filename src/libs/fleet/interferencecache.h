#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace FleetSchema {
class StepSpec;
}

namespace Fleet {

class TailLatencyModel;
struct Task;
struct Worker;

/*!
    Holds estimates of a TailLatencyModel that a scheduling pass needs again and again.

    Under load, a pass compares each waiting task with all workers of the shard. Without the cache, each
    comparison would look up the pressure of every pair of images by name, and the passes of a large shard
   would delay its reports and commands. Must not be used after the model or the reports of a worker have
   changed.
*/
class InterferenceCache {
public:
    /*! Estimate for a pair of images, as TailLatencyModel returns it. */
    struct Pressure {
        double value = 0;
        bool isKnown = false;
    };

    /*! \param model must outlive the cache. */
    explicit InterferenceCache(const TailLatencyModel& model);

    /*! \return the estimate for a latency-critical image and a colocated one. */
    Pressure pressure(const std::string& criticalImage, std::string_view colocated);

    /*! \return the same as Fleet::headroomAfterAdding(). */
    double headroomAfterAdding(
        const Worker& worker, const FleetSchema::StepSpec& step, double speed = 1, double variation = 0);

    /*! \return the same as Fleet::maxAddedUtilization(). */
    double maxAddedUtilization(const Worker& worker, const FleetSchema::StepSpec& step);

    /*!
        \return the result of \p compute for a pair of latency-critical images, which is called only for the
            first call with the pair. It must be symmetric.
    */
    template <typename Compute>
    double distance(const std::string& first, const std::string& second, Compute compute)
    {
        const auto [low, high] = std::minmax({ indexOf(first), indexOf(second) });
        const auto [entry, isNew] = distances_.try_emplace(low << 32U | high);
        if (isNew)
            entry->second = compute();
        return entry->second;
    }

    /*! \return the greatest pressure of a colocated image on latency-critical tasks of the worker. */
    double maxPressure(const Worker& worker, std::string_view colocated);

    /*!
        \return the result of \p compute for the latency-critical images on a worker, which is called only for
       the first worker with these images. It must depend on nothing else that changes.
    */
    template <typename Compute> double toleratedDemand(const Worker& worker, Compute compute)
    {
        const auto [entry, isNew] = toleratedDemands_.try_emplace(criticalImagesOf(worker));
        if (isNew)
            entry->second = compute();
        return entry->second;
    }

    /*! Must be called after an attempt on the worker was added or removed. */
    void invalidate(const Worker& worker) { criticalTasks_.erase(&worker); }

private:
    /*! A latency-critical task of a worker. */
    struct CriticalTask {
        std::size_t image = 0; //!< Index of its image.
        double headroom = 0; //!< Below the limit, without a margin and without an added task.
        double added = 0; //!< What the best-effort tasks on the worker add.
        const Task* task = nullptr;
    };

    using PressureRow = std::vector<Pressure>; //!< By index of the latency-critical image.

    std::size_t indexOf(const std::string& criticalImage);
    const PressureRow& pressuresOf(std::string_view colocated);
    const std::vector<CriticalTask>& criticalTasksOf(const Worker& worker);

    std::vector<std::size_t> criticalImagesOf(const Worker& worker);

    const TailLatencyModel& model_;
    std::vector<std::string> criticalImages_;
    std::unordered_map<std::string, std::size_t> indexByCriticalImage_;
    std::unordered_map<std::string, PressureRow> pressures_; //!< By colocated image.
    std::unordered_map<const Worker*, std::vector<CriticalTask>> criticalTasks_;
    std::unordered_map<std::uint64_t, double> distances_; //!< By the indexes of two images.
    std::map<std::vector<std::size_t>, double> toleratedDemands_; //!< By the indexes of the images, in order.
};

} // namespace Fleet
