#pragma once

#include "platform/vmlist.h"

#include "http/blockingclient.h"

namespace Platform {

/*! The VM list over HTTP. Safe for use from several threads. */
class HttpVmList final : public VmList {
public:
    /*! \param options address, port and time limit of the platform's service. */
    explicit HttpVmList(Http::ClientOptions options);

    Utils::Result<Schema::VmListReply> list() override;

private:
    Http::BlockingClient client_;
};

} // namespace Platform
