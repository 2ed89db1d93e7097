#pragma once

#include "nodecontext.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <fleet.pb.h>

#include <functional>
#include <memory>
#include <string>

namespace FleetNode {

class OtherShards;

/*!
    Asks the former owner of a shard that was taken over until when attempts can run on its workers.

    A former owner that did not release the shard may live without having been able to write: it knows which
    attempts have ended, and renews no leases once it has been asked.
*/
class FormerOwnerInquiry {
public:
    using ReportHandler = std::function<void(const FleetSchema::LeaseReport&)>;

    /*! \param otherShards must outlive the object. */
    FormerOwnerInquiry(NodeContext& context, OtherShards& otherShards, std::string shard);

    /*!
        Asks until there is an answer.
        \param former the owner row as the former owner last wrote it.
        \param onReport receives the answer; called at most once.
    */
    void start(const FleetSchema::ShardRecord& former, ReportHandler onReport);

    /*! Repeats the question if it is due; must be called every 100 ms while an answer would be of use. */
    void tick();

private:
    void onReply(const Utils::Result<FleetSchema::PeerReply>& result);

    NodeContext& context_;
    OtherShards& otherShards_;
    std::string shard_;
    FleetSchema::LeaseInquiry inquiry_;
    ReportHandler onReport_; //!< Empty if there is nothing to ask.
    Utils::TimePoint nextCallAt_ {};
    bool isCalling_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
