#pragma once

#include "platform/tableservice.h"

#include "http/blockingclient.h"

namespace Platform {

/*! Table service that uses the platform's HTTP interface with Protobuf bodies. Thread-safe. */
class HttpTableService final : public TableService {
public:
    /*! \param options address, port and timeout of the platform's service. */
    explicit HttpTableService(Http::ClientOptions options);

    Utils::Result<Schema::Row> get(std::string_view key) override;
    Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t limit) override;
    Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) override;

private:
    Http::BlockingClient client_;
};

} // namespace Platform
