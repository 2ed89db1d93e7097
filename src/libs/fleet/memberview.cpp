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
    const Utils::Duration gap = now - readAt_;
    const bool wasInterrupted = readAt_ != Utils::TimePoint {} && gap > timeout_ / 2;
    readAt_ = now;
    for (auto& [name, member] : members_) {
        // Time in which nothing could be read is not counted as silence.
        if (wasInterrupted)
            member.changedAt += gap;
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

void MemberView::noteShards(const FleetSchema::NodeRecord& record)
{
    const auto found = members_.find(record.name());
    if (found != members_.end() && found->second.record.incarnation() <= record.incarnation())
        found->second.record = record;
}

std::vector<const FleetSchema::NodeRecord*> MemberView::alive() const
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

std::map<std::string, ShardHolder> MemberView::holders() const
{
    std::map<std::string, ShardHolder> holders;
    for (const FleetSchema::NodeRecord* node : alive()) {
        for (const FleetSchema::ShardLoad& load : node->shards()) {
            ShardHolder& holder = holders[load.shard()];
            if (holder.node.empty() || holder.load.epoch() < load.epoch())
                holder = { node->name(), node->address(), load };
        }
    }
    return holders;
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
