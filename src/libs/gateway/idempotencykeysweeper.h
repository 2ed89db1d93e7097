#pragma once

#include <cstdint>
#include <string>

namespace Platform {
class TableService;
}

namespace Gateway {

/*!
    Deletes the rows of expired idempotency keys in batches.

    A row is only deleted if it is unchanged since it was read, so a key that is claimed again in the meantime
    is kept. Not thread-safe.
*/
class IdempotencyKeySweeper {
public:
    static constexpr std::int64_t retentionMs = 24LL * 60 * 60 * 1000; //!< Counted from the claim of the key.
    static constexpr std::uint32_t rowsPerBatch = 200;

    /*!
        Reads the next batch of rows and deletes the expired ones in one commit; blocks on the table.
        \param nowUnixMs the current time in milliseconds since the Unix epoch (1970).
        \return the number of deleted rows.
    */
    std::uint32_t sweepBatch(Platform::TableService& table, std::int64_t nowUnixMs);

private:
    std::string lastKey_; //!< Key of the last row of the previous batch; empty at the start of a pass.
};

} // namespace Gateway
