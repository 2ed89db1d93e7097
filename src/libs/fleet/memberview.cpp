#include "memberview.h"

#include <algorithm>

namespace Fleet {

MemberView::MemberView(std::string self, Utils::Duration timeout)
    : selfName_(std::move(self))
    , timeout_(timeout)
{
}

void MemberView::update(const std::vector<MemberRow>& rows, Utils::TimePoint now)
{
    const Utils::Duration readGap = now - readAt_;
    const bool wasInterrupted = readAt_ != Utils::TimePoint {} && readGap > timeout_ / 2;
    readAt_ = now;
    for (auto& [name, member] : members_) {
        // Time in which nothing could be read does not count as missing heartbeats.
        if (wasInterrupted)
            member.changedAt += readGap;
    }
    for (const MemberRow& row : rows) {
        Member& member = members_[row.record.name()];
        if (row.version == member.version)
            continue;
        member.record = row.record;
        member.version = row.version;
        member.changedAt = now;
    }
}

void MemberView::updateRecord(const FleetSchema::NodeRecord& record)
{
    const auto found = members_.find(record.name());
    if (found != members_.end() && found->second.record.incarnation() <= record.incarnation())
        found->second.record = record;
}

std::vector<const FleetSchema::NodeRecord*> MemberView::aliveNodes() const
{
    std::vector<const FleetSchema::NodeRecord*> nodes { &self_ };
    for (const auto& [name, member] : members_) {
        if (name != selfName_ && isAlive(name))
            nodes.push_back(&member.record);
    }
    std::sort(nodes.begin(), nodes.end(),
        [](const auto* left, const auto* right) { return left->name() < right->name(); });
    return nodes;
}

bool MemberView::isAlive(const std::string& name) const
{
    if (name == selfName_)
        return true;
    const auto found = members_.find(name);
    return found != members_.end() && readAt_ - found->second.changedAt < timeout_;
}

std::map<std::string, ShardOwnerInfo> MemberView::shardOwners() const
{
    std::map<std::string, ShardOwnerInfo> owners;
    for (const FleetSchema::NodeRecord* node : aliveNodes()) {
        for (const FleetSchema::ShardLoad& load : node->shards()) {
            ShardOwnerInfo& owner = owners[load.shard()];
            if (owner.node.empty() || owner.load.epoch() < load.epoch())
                owner = { node->name(), node->address(), load };
        }
    }
    return owners;
}

bool MemberView::lastRecord(const std::string& name, FleetSchema::NodeRecord& record) const
{
    const auto found = members_.find(name);
    if (found == members_.end())
        return false;
    record = found->second.record;
    return true;
}

} // namespace Fleet
