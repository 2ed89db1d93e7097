#include "originreader.h"

#include "storedjobstate.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

// Bounds the load on a store that answers slowly, as after the loss of several owners.
constexpr std::size_t maxOpenReads = 20;

} // namespace

OriginReader::OriginReader(const NodeContext& context, Handler handler)
    : context_(context)
    , handler_(std::move(handler))
{
}

void OriginReader::read(const std::string& originShard, const std::string& job)
{
    if (openReads_.size() >= maxOpenReads || !openReads_.insert(job).second)
        return;
    readStoredJobState(context_, originShard, job,
        [this, weak = std::weak_ptr<bool>(alive_), job](const Utils::Result<FleetSchema::JobState>& result) {
            if (!weak.lock())
                return;
            openReads_.erase(job);
            if (Utils::isOk(result))
                return handler_(job, Utils::value(result));
            if (Utils::error(result).code == Utils::ErrorCode::NotFound)
                return handler_(job, FleetSchema::JOB_COMPLETED);
            Utils::logError("origin-unread", Utils::error(result));
        });
}

} // namespace FleetNode
