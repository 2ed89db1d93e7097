#pragma once

#include "platform/objectstore.h"

#include "http/blockingclient.h"

namespace Platform {

/*! The object store over HTTP. Safe for use from several threads. */
class HttpObjectStore final : public ObjectStore {
public:
    /*! \param options address, port and time limit of the platform's service. */
    explicit HttpObjectStore(Http::ClientOptions options);

    Utils::Status put(std::string_view name, std::string_view content) override;
    Utils::Result<std::string> get(std::string_view name) override;

private:
    Http::BlockingClient client_;
};

} // namespace Platform
