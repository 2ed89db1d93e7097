// Calls of a ShardHost about gangs that are divided among several shards.

#include "shardhost.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

void logPart(const char* event, const FleetSchema::GangPart& part, const std::string& calledShard)
{
    Utils::log(Utils::LogLevel::Info, event,
        { { "job", part.job() }, { "occurrence", std::to_string(part.occurrence()) },
            { "step", std::to_string(part.step()) }, { "host", part.shard() }, { "to", calledShard },
            { "transfer", std::to_string(part.transfer()) }, { "hold_ms", std::to_string(part.hold_ms()) } });
}

} // namespace

std::vector<Fleet::GangShare> ShardHost::divideGang(const FleetSchema::JobSpec& spec, std::uint32_t step,
    Utils::Duration waited, std::span<const std::string> returnedBy)
{
    std::vector<Fleet::GangShare> shares = otherShards_.divideGang(shard_, spec, step, waited, returnedBy);
    std::string parts;
    for (const Fleet::GangShare& share : shares)
        parts += (parts.empty() ? "" : ", ") + share.shard + ": " + std::to_string(share.count);
    if (!shares.empty()) {
        context_.metrics.add("geraniumquay_gangs_divided_total");
        Utils::log(Utils::LogLevel::Info, "gang-divided",
            { { "job", spec.id() }, { "step", std::to_string(step) }, { "shard", shard_ },
                { "parts", parts } });
    }
    return shares;
}

void ShardHost::sendPartReady(const std::string& originShard, const FleetSchema::GangPart& part)
{
    logPart("gang-part-ready", part, originShard);
    FleetSchema::PeerRequest request;
    request.set_shard(originShard);
    *request.mutable_part_ready() = part;
    callOtherShard(request, [this, part](const FleetSchema::PeerReply& reply) {
        scheduler_.onPartReadyAnswered(part, reply.outcome(), context_.now());
        requestRound();
    });
}

void ShardHost::startPart(const std::string& hostShard, const FleetSchema::GangPart& part)
{
    logPart("gang-part-start", part, hostShard);
    FleetSchema::PeerRequest request;
    request.set_shard(hostShard);
    *request.mutable_part_start() = part;
    callOtherShard(request, [this, part](const FleetSchema::PeerReply& reply) {
        scheduler_.onPartStartAnswered(part, reply.outcome());
    });
}

FleetSchema::PeerOutcome ShardHost::acceptPartReady(const FleetSchema::GangPart& part)
{
    if (!isStartPossible())
        return FleetSchema::PEER_UNAVAILABLE;
    scheduler_.setStartRightEnd(startRightEnd());
    const FleetSchema::PeerOutcome outcome = scheduler_.acceptPartReady(part, context_.now());
    requestRound();
    return outcome;
}

FleetSchema::PeerOutcome ShardHost::acceptPartStart(const FleetSchema::GangPart& part)
{
    if (!isStartPossible())
        return FleetSchema::PEER_UNAVAILABLE;
    scheduler_.setStartRightEnd(startRightEnd());
    const FleetSchema::PeerOutcome outcome = scheduler_.acceptPartStart(part, context_.now());
    requestRound();
    return outcome;
}

} // namespace FleetNode
