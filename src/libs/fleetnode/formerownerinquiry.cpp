#include "formerownerinquiry.h"

#include "shardhost.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

// Pause between two calls of a former owner that does not answer.
constexpr std::chrono::milliseconds callInterval { 500 };

} // namespace

FormerOwnerInquiry::FormerOwnerInquiry(NodeContext& context, OtherShards& otherShards, std::string shard)
    : context_(context)
    , otherShards_(otherShards)
    , shard_(std::move(shard))
{
}

void FormerOwnerInquiry::start(const FleetSchema::ShardRecord& former, ReportHandler onReport)
{
    if (former.owner().empty() || former.owner() == context_.settings.node().name())
        return;
    inquiry_.set_owner(former.owner());
    inquiry_.set_incarnation(former.incarnation());
    inquiry_.set_epoch(former.epoch());
    onReport_ = std::move(onReport);
    tick();
}

void FormerOwnerInquiry::tick()
{
    if (!onReport_ || isCalling_ || context_.now() < nextCallAt_)
        return;
    isCalling_ = true;
    nextCallAt_ = context_.now() + callInterval;
    FleetSchema::PeerRequest request;
    request.set_shard(shard_);
    *request.mutable_lease_inquiry() = inquiry_;
    otherShards_.callNode(inquiry_.owner(), request,
        [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<FleetSchema::PeerReply>& result) {
            if (weak.lock())
                onReply(result);
        });
}

void FormerOwnerInquiry::onReply(const Utils::Result<FleetSchema::PeerReply>& result)
{
    isCalling_ = false;
    // An owner of an earlier version answers without a report, and another node at its address with an empty
    // one.
    if (!Utils::isOk(result))
        return;
    const FleetSchema::LeaseReport& report = Utils::value(result).leases();
    if (!report.is_known() && !report.has_process_ended())
        return;
    Utils::log(Utils::LogLevel::Info, "former-owner-answered",
        { { "shard", shard_ }, { "former_owner", inquiry_.owner() },
            { "known", report.is_known() ? "true" : "false" },
            { "process_ended", report.has_process_ended() ? "true" : "false" },
            { "workers", std::to_string(report.remaining_ms_size()) },
            { "unstored_ends", std::to_string(report.ended_size()) } });
    const ReportHandler onReport = std::move(onReport_);
    onReport_ = nullptr;
    onReport(report);
}

} // namespace FleetNode
