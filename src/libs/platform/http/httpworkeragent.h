#pragma once

#include "platform/workeragent.h"

#include "utils/clock.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Http {
class BlockingClient;
}

namespace Platform {

/*! Sends commands to workers over HTTP with Protobuf bodies. Thread-safe. */
class HttpWorkerAgent final : public WorkerAgent {
public:
    /*! \param timeout timeout of one call. */
    explicit HttpWorkerAgent(Utils::Duration timeout);
    ~HttpWorkerAgent() override;

    Utils::Result<Schema::WorkerReport> send(
        const Schema::VmEntry& worker, const Schema::CommandBatch& batch) override;

private:
    std::shared_ptr<Http::BlockingClient> clientFor(const Schema::VmEntry& worker);

    Utils::Duration timeout_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<Http::BlockingClient>> clients_;
};

} // namespace Platform
