// Evacuation of the failure domain of a ShardHost.

#include "shardhost.h"

#include "utils/log/log.h"

namespace FleetNode {

void ShardHost::setEvacuated(bool isEvacuated, Utils::TimePoint knownUntil)
{
    evacuationKnownUntil_ = knownUntil;
    if (isEvacuated == isEvacuated_)
        return;
    isEvacuated_ = isEvacuated;
    isEmptied_ = false;
    scheduler_.setEvacuated(isEvacuated);
    Utils::log(Utils::LogLevel::Info, isEvacuated ? "shard-evacuation-began" : "shard-evacuation-ended",
        { { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
            { "open_attempts", std::to_string(scheduler_.countOpenAttempts()) } });
    context_.metrics.set(
        "geraniumquay_shard_evacuated", Telemetry::label("shard", shard_), isEvacuated ? 1 : 0);
    requestRound();
}

// Logs once that nothing runs in the shard any more.
void ShardHost::reportEvacuation()
{
    if (!isEvacuated_)
        return;
    const std::size_t open = scheduler_.countOpenAttempts();
    context_.metrics.set("geraniumquay_shard_evacuation_open_attempts", Telemetry::label("shard", shard_),
        static_cast<double>(open));
    if (open > 0 || isEmptied_)
        return;
    isEmptied_ = true;
    Utils::log(Utils::LogLevel::Info, "shard-emptied", { { "shard", shard_ } });
}

} // namespace FleetNode
