#pragma once

#include "platform/objectstore.h"

#include "http/blockingclient.h"

namespace Platform {

/*! Object store that uses the platform's HTTP interface. Thread-safe. */
class HttpObjectStore final : public ObjectStore {
public:
    /*! \param options address, port and timeout of the platform's service. */
    explicit HttpObjectStore(Http::ClientOptions options);

    Utils::Status put(std::string_view name, std::string_view content) override;
    Utils::Result<std::string> get(std::string_view name) override;

private:
    Http::BlockingClient client_;
};

} // namespace Platform
