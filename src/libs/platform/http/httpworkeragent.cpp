#include "httpworkeragent.h"

#include "protocall.h"

#include "http/blockingclient.h"

namespace Platform {

HttpWorkerAgent::HttpWorkerAgent(Utils::Duration timeout)
    : timeout_(timeout)
{
}

HttpWorkerAgent::~HttpWorkerAgent() = default;

Utils::Result<Schema::WorkerReport> HttpWorkerAgent::send(
    const Schema::VmEntry& worker, const Schema::CommandBatch& batch)
{
    Schema::WorkerReport report;
    const auto client = clientFor(worker);
    const auto status = Internal::callProto(
        *client, "worker.commands", Internal::makeProtoRequest("/v1/commands", batch), report);
    if (!Utils::isOk(status))
        return Utils::error(status);
    return report;
}

std::shared_ptr<Http::BlockingClient> HttpWorkerAgent::clientFor(const Schema::VmEntry& worker)
{
    const std::string peer = worker.address() + ":" + std::to_string(worker.port());
    const std::lock_guard<std::mutex> guard(mutex_);
    std::shared_ptr<Http::BlockingClient>& client = clients_[peer];
    if (!client) {
        const Http::ClientOptions options { worker.address(), static_cast<std::uint16_t>(worker.port()),
            timeout_ };
        client = std::make_shared<Http::BlockingClient>(options);
    }
    return client;
}

} // namespace Platform
