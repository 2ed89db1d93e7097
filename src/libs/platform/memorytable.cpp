#include "memorytable.h"

#include <algorithm>

namespace Platform {

Utils::Result<Schema::Row> MemoryTable::get(std::string_view key)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = rows_.find(key);
    if (found != rows_.end())
        return found->second;
    Schema::Row absent;
    absent.set_key(std::string(key));
    return absent;
}

Utils::Result<Schema::ScanReply> MemoryTable::scan(
    std::string_view prefix, std::string_view after, std::uint32_t limit)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    Schema::ScanReply reply;
    auto row = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; row != rows_.end() && row->first.starts_with(prefix); ++row) {
        if (static_cast<std::uint32_t>(reply.rows_size()) == limit) {
            reply.set_more(true);
            break;
        }
        *reply.add_rows() = row->second;
    }
    return reply;
}

Utils::Result<Schema::CommitReply> MemoryTable::commit(const Schema::CommitRequest& request)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    Schema::CommitReply reply;
    if (!checkConditions(request, reply))
        return reply;
    ++lastVersion_;
    ++commitCount_;
    for (const Schema::RowPut& put : request.puts()) {
        Schema::Row& row = rows_[put.key()];
        row.set_key(put.key());
        row.set_value(put.value());
        row.set_version(lastVersion_);
        row.set_write_id(request.write_id());
    }
    for (const std::string& key : request.deletes())
        rows_.erase(key);
    reply.set_committed(true);
    reply.set_version(lastVersion_);
    return reply;
}

std::uint64_t MemoryTable::commitCount() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    return commitCount_;
}

bool MemoryTable::checkConditions(const Schema::CommitRequest& request, Schema::CommitReply& reply) const
{
    for (const Schema::RowCondition& condition : request.conditions()) {
        const auto found = rows_.find(condition.key());
        const std::uint64_t version = found == rows_.end() ? 0 : found->second.version();
        if (version == condition.version())
            continue;
        reply.set_conflicting_key(condition.key());
        return false;
    }
    return true;
}

Utils::Result<Schema::CommitReply> commitAndResolve(TableService& table, const Schema::CommitRequest& request)
{
    auto reply = table.commit(request);
    if (Utils::isOk(reply) || Utils::error(reply).code != Utils::ErrorCode::OutcomeUnknown)
        return reply;
    if (request.puts().empty())
        return reply;
    const auto row = table.get(request.puts(0).key());
    if (!Utils::isOk(row))
        return reply;
    if (Utils::value(row).write_id() != request.write_id())
        return reply;
    Schema::CommitReply resolved;
    resolved.set_committed(true);
    resolved.set_version(Utils::value(row).version());
    return resolved;
}

} // namespace Platform
