#pragma once

#include "tableservice.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Platform {

/*!
    In-memory table service, used by the stand-in platform and by tests.

    Thread-safe.
*/
class MemoryTable final : public TableService {
public:
    Utils::Result<Schema::Row> get(std::string_view key) override;
    Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t limit) override;
    Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) override;

    /*! \return number of successful commits. */
    std::uint64_t commitCount() const;

private:
    bool checkConditions(const Schema::CommitRequest& request, Schema::CommitReply& reply) const;

    mutable std::mutex mutex_;
    std::map<std::string, Schema::Row, std::less<>> rows_;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t commitCount_ = 0;
};

} // namespace Platform
