#pragma once

#include "ports/taskkey.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Fleet {

/*! An attempt that was lost with a worker that has crashed or was cut off. */
struct PresumedCrash {
    std::string worker;
    std::int64_t workerBornMs = 0; //!< Incarnation that the attempt was lost with; 0 if unknown.
    Ports::TaskKey task;
    std::uint32_t attempt = 0;
    Utils::TimePoint presumedAt {};
};

/*!
    Attempts whose worker may have crashed: nothing listened at its address and its lease ran out. The same is
    seen of a worker that is cut off and runs on, so the verdict waits until the worker reports again or has
    stayed away.
*/
class PresumedCrashes {
public:
    void add(PresumedCrash crash) { crashes_.push_back(std::move(crash)); }

    /*! Removes and returns the crashes of the worker. */
    std::vector<PresumedCrash> takeAllOf(const std::string& worker);

    /*! Removes and returns the crashes that were presumed before \p time. */
    std::vector<PresumedCrash> takeOlderThan(Utils::TimePoint time);

    /*! Removes the crashes under attempts of a task. */
    void forget(const Ports::TaskKey& task);

private:
    template <typename Condition> std::vector<PresumedCrash> takeIf(const Condition& condition);

    std::vector<PresumedCrash> crashes_;
};

} // namespace Fleet
