#include "storedjobstate.h"

#include "nodecontext.h"

namespace FleetNode {

namespace {

Utils::Result<FleetSchema::JobState> stateOf(const Ports::RowPage& page, const std::string& job)
{
    if (page.rows.empty() || page.rows.front().name.key != job)
        return Utils::Error { Utils::ErrorCode::NotFound, "store.read-job", job, "no such job" };
    FleetSchema::JobRecord record;
    if (!record.ParseFromString(page.rows.front().value))
        return Utils::Error { Utils::ErrorCode::Internal, "store.read-job", job,
            "the job's record is damaged" };
    return record.state();
}

} // namespace

void readStoredJobState(const NodeContext& context, const std::string& shard, const std::string& job,
    StoredJobStateHandler handler)
{
    Ports::RowRange range;
    range.table = jobTable;
    range.partition = shard;
    range.from = job;
    range.limit = 1;
    context.store.read(
        range, [job, handler = std::move(handler)](const Utils::Result<Ports::RowPage>& result) {
            if (!Utils::isOk(result))
                return handler(Utils::error(result));
            handler(stateOf(Utils::value(result), job));
        });
}

} // namespace FleetNode
