#pragma once

#include "nodecontext.h"
#include "timer.h"

#include "fleet/tailmodel.h"
#include "utils/result.h"

#include <memory>

namespace Ports {
struct RowPage;
}

namespace FleetNode {

/*!
    Shares what the nodes learn of interference through the store, a row a node. A node that takes a shard
   over, or starts again, goes on from what is known instead of disturbing tasks with a latency target until
   it has learnt anew.
*/
class TailLatencyExchange {
public:
    /*! \param context what the node shares. */
    explicit TailLatencyExchange(NodeContext& context);
    ~TailLatencyExchange();

    /*! Reads the rows, then writes and reads them at intervals. */
    void start();

    /*! \return the model of this node. */
    Fleet::TailModel& model() { return model_; }

private:
    void read();
    void onRows(const Utils::Result<Ports::RowPage>& result);
    void write();

    NodeContext& context_;
    Fleet::TailModel model_;
    Timer timer_;
    bool hasReadFormerRow_ = false; //!< The row of the former incarnation was looked for.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
