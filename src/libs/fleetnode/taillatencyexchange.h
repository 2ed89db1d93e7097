#pragma once

#include "nodecontext.h"
#include "timer.h"

#include "fleet/taillatencymodel.h"
#include "utils/result.h"

#include <memory>

namespace Ports {
struct RowPage;
}

namespace FleetNode {

/*!
    Shares the nodes' tail latency estimates through the store, with one row for each node.

    A node that takes over a shard or restarts can use the existing estimates. Otherwise it would disturb
    latency-critical tasks until it has learned them again.
*/
class TailLatencyExchange {
public:
    explicit TailLatencyExchange(NodeContext& context);
    ~TailLatencyExchange();

    /*!
        Sets whether this node owns or claims shards. While it does, it reads all rows and then periodically
        writes its own row and reads all rows again.
    */
    void setNeeded(bool isNeeded);

    /*! \return the model of this node, which includes the estimates of the other nodes. */
    Fleet::TailLatencyModel& model() { return model_; }

private:
    void read();
    void onRows(const Utils::Result<Ports::RowPage>& result);
    void reportAccount();
    void write();

    NodeContext& context_;
    Fleet::TailLatencyModel model_;
    Timer timer_;
    bool isNeeded_ = false;
    bool hasReadFormerRow_ = false; //!< The row of this node's former incarnation was read, if it exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
