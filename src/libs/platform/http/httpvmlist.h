#pragma once

#include "platform/vmlist.h"

#include "http/blockingclient.h"

namespace Platform {

/*! VM list that uses the platform's HTTP interface. Thread-safe. */
class HttpVmList final : public VmList {
public:
    /*! \param options address, port and timeout of the platform's service. */
    explicit HttpVmList(Http::ClientOptions options);

    Utils::Result<Schema::VmListReply> list() override;

private:
    Http::BlockingClient client_;
};

} // namespace Platform
