#pragma once

#include "utils/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Fleet {
class StepBudget;
}

namespace FleetNode {

struct NodeContext;

/*! Age of what an owner acts on, at the end of a pass. */
struct OwnerAges {
    Utils::Duration workerList {}; //!< Since the list of workers started to be read.
    Utils::Duration transaction {}; //!< Since the latest transaction that confirmed the ownership.
    //! Shortest time for which the lease of a worker with tasks lasts; empty if there is no such worker.
    std::optional<Utils::Duration> lease;
};

/*! Measures the passes of a shard's owner, and logs those that are long. */
class PassMonitor {
public:
    /*! \param context must outlive the monitor. */
    PassMonitor(NodeContext& context, std::string shard);

    /*!
        Adds a pass to the metrics, and logs it if it made more than 100,000 steps or took more than 50 ms.

        \param pass "schedule" or "tick".
        \param steps what the pass has examined.
        \param duration of the pass, processor time and interruptions together.
        \param ages called if the pass is logged.
    */
    void onPass(std::string_view pass, const Fleet::StepBudget& steps, Utils::Duration duration,
        const std::function<OwnerAges()>& ages);

private:
    NodeContext& context_;
    std::string shard_;
};

} // namespace FleetNode
