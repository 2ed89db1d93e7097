#pragma once

#include "utils/clock.h"

namespace FleetNode {

struct NodeContext;

/*! Measures how late the event loop of a node is with what is due. */
class LoopMonitor {
public:
    /*! \param context must outlive the monitor. */
    explicit LoopMonitor(NodeContext& context);

    /*!
        Adds the lateness of a tick to the metrics, and logs it if it exceeds 250 ms.

        \param dueAt when the tick was due.
        \param heartbeatAge time since the latest heartbeat was sent.
    */
    void onTick(Utils::TimePoint dueAt, Utils::Duration heartbeatAge);

private:
    NodeContext& context_;
};

} // namespace FleetNode
