#include "memberview.h"

#include <algorithm>
#include <utility>

namespace Fleet {

MemberView::MemberView(std::string self, Utils::Duration timeout)
    : selfName_(std::move(self))
    , timeout_(timeout)
{
}

void MemberView::update(const std::vector<MemberRow>& rows, Utils::TimePoint now, std::uint64_t storeVersion)
{
    const RelayedView relayed = std::exchange(relayedView_, {});
    storeVersion_ = storeVersion;
    const Utils::Duration readGap = now - readAt_;
    const bool wasInterrupted = readAt_ != Utils::TimePoint {} && readGap > timeout_ / 2;
    readAt_ = now;
    ++revision_;
    for (auto& [name, member] : members_) {
        // Time in which nothing could be read does not count as missing heartbeats.
        if (wasInterrupted)
            member.changedAt += readGap;
    }
    for (const MemberRow& row : rows) {
        Member& member = members_[row.record.name()];
        if (row.version == member.version)
            continue;
        if (member.revision == 0 || member.record.SerializeAsString() != row.record.SerializeAsString())
            member.revision = revision_;
        // The relay has seen this version of the row already, at the time that changedAt follows from.
        const bool wasRelayed
            = member.changedAt != Utils::TimePoint {} && row.version <= relayed.storeVersion;
        member.record = row.record;
        member.version = row.version;
        if (!wasRelayed)
            member.changedAt = now;
    }
}

FleetSchema::MembersReply MemberView::changesSince(std::uint64_t revision) const
{
    FleetSchema::MembersReply reply;
    reply.set_revision(revision_);
    reply.set_store_version(storeVersion_);
    for (const auto& [name, member] : members_) {
        if (member.revision > revision)
            *reply.add_changed() = member.record;
        if (readAt_ - member.changedAt <= timeout_ / 2)
            continue;
        FleetSchema::SilentMember& silent = *reply.add_silent();
        silent.set_name(name);
        silent.set_silent_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(readAt_ - member.changedAt).count()));
    }
    return reply;
}

bool MemberView::applyRelayed(const FleetSchema::MembersReply& reply, Utils::TimePoint now)
{
    const bool isComplete = reply.relay() != relayedView_.relay;
    if (reply.relay() == 0 || reply.store_version() < storeVersion_
        || (!isComplete && reply.revision() < relayedView_.revision))
        return false;
    relayedView_ = { reply.relay(), reply.revision(), reply.store_version() };
    storeVersion_ = reply.store_version();
    readAt_ = now - std::chrono::milliseconds(reply.age_ms());
    for (const FleetSchema::NodeRecord& record : reply.changed()) {
        Member& member = members_[record.name()];
        // A direct message from a later process may have arrived before.
        if (member.record.incarnation() <= record.incarnation())
            member.record = record;
    }
    for (auto& [name, member] : members_)
        member.changedAt = readAt_;
    for (const FleetSchema::SilentMember& silent : reply.silent()) {
        const auto found = members_.find(silent.name());
        if (found == members_.end())
            continue;
        found->second.changedAt = readAt_ - std::chrono::milliseconds(silent.silent_ms());
    }
    return true;
}

void MemberView::updateRecord(const FleetSchema::NodeRecord& record)
{
    const auto found = members_.find(record.name());
    if (found == members_.end() || found->second.record.incarnation() > record.incarnation())
        return;
    found->second.record = record;
    // Belongs to the changes that the next read makes.
    found->second.revision = revision_ + 1;
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

bool MemberView::isSilent(const std::string& name) const
{
    const auto found = members_.find(name);
    return name != selfName_ && found != members_.end() && readAt_ - found->second.changedAt > timeout_ / 2;
}

std::map<std::string, ShardOwnerInfo> MemberView::shardOwners() const
{
    std::map<std::string, ShardOwnerInfo> owners;
    for (const FleetSchema::NodeRecord* node : aliveNodes()) {
        for (const FleetSchema::ShardLoad& load : node->shards()) {
            ShardOwnerInfo& owner = owners[load.shard()];
            if (owner.node.empty() || owner.load.epoch() < load.epoch())
                owner = { node->name(), node->address(), load, isSilent(node->name()) };
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
