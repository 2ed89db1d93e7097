#pragma once

#include <cstdint>
#include <string>

namespace Platform {
class TableService;
}

namespace Gateway {

/*!
    Deletes rows of idempotency keys whose retention is over, a part of them with each step.

    A row is deleted only as it was read; one that is claimed anew meanwhile stays. Not safe for threads.
*/
class IdempotencyKeySweeper {
public:
    static constexpr std::int64_t retentionMs = 24LL * 60 * 60 * 1000; //!< From the claim of the key.
    static constexpr std::uint32_t rowsPerBatch = 200;

    /*!
        Reads the next rows and deletes the old ones in one commit; waits for the table.
        \param table the platform's table.
        \param unixMs the current time, milliseconds since 1970.
        \return number of rows deleted.
    */
    std::uint32_t sweepBatch(Platform::TableService& table, std::int64_t nowUnixMs);

private:
    std::string lastKey_;
};

} // namespace Gateway
