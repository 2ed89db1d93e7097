#include "idempotencykeysweeper.h"

#include "platform/tableservice.h"
#include "utils/identifiers.h"
#include "utils/log/log.h"

#include <requests.pb.h>

namespace Gateway {

namespace {

constexpr char keyRowPrefix[] = "request-keys/";

bool isExpired(const Schema::Row& row, std::int64_t nowUnixMs)
{
    Schema::KeyRecord record;
    return record.ParseFromString(row.value())
        && record.claimed_unix_ms() + IdempotencyKeySweeper::retentionMs < nowUnixMs;
}

} // namespace

// If the commit fails, none of its rows is deleted; the next pass checks them again.
std::uint32_t IdempotencyKeySweeper::sweepBatch(Platform::TableService& table, std::int64_t nowUnixMs)
{
    const auto reply = table.scan(keyRowPrefix, lastKey_, rowsPerBatch);
    if (!Utils::isOk(reply)) {
        Utils::logError("key-sweep-failed", Utils::error(reply));
        return 0;
    }
    const Schema::ScanReply& page = Utils::value(reply);
    lastKey_ = page.more() ? page.rows(page.rows_size() - 1).key() : std::string();
    Schema::CommitRequest request;
    request.set_write_id(Utils::makeUniqueId());
    for (const Schema::Row& row : page.rows()) {
        if (!isExpired(row, nowUnixMs))
            continue;
        Schema::RowCondition* condition = request.add_conditions();
        condition->set_key(row.key());
        condition->set_version(row.version());
        request.add_deletes(row.key());
    }
    if (request.deletes().empty())
        return 0;
    const auto committed = table.commit(request);
    const bool deleted = Utils::isOk(committed) && Utils::value(committed).committed();
    return deleted ? static_cast<std::uint32_t>(request.deletes_size()) : 0;
}

} // namespace Gateway
