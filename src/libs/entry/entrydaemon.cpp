#include "entrydaemon.h"

#include "jobhandler.h"

#include "daemon/frame.h"
#include "gateway/keyledger.h"
#include "gateway/servicegateway.h"
#include "node/nodeservices.h"
#include "utils/log/log.h"

#include <settings.pb.h>

namespace Entry {

namespace {

Gateway::GatewayLimits gatewayLimits(const Schema::RequestSettings& settings)
{
    Gateway::GatewayLimits limits;
    limits.connectTimeout = std::chrono::milliseconds(settings.connect_timeout_ms());
    limits.progressTimeout = std::chrono::milliseconds(settings.progress_timeout_ms());
    limits.maxBodyBytes = std::uint64_t { settings.max_body_kb() } * 1024;
    return limits;
}

} // namespace

class EntryDaemon::Private {
public:
    explicit Private(const Schema::EntryDaemonSettings& settings)
        : frame_(settings.listen(), [this] { return gateway_.metrics() + node_.metrics(); })
        , gateway_(frame_.context(),
              { settings.node().name(), settings.node().domain(), settings.node().region() },
              gatewayLimits(settings.requests()),
              std::chrono::milliseconds(settings.requests().default_deadline_ms()))
        , node_(Node::sharedSettings(settings, "entry"), frame_.readiness(), handlers())
        , jobs_(node_.table())
        , keyLedger_(node_.table(), settings.node().name())
    {
        gateway_.useKeyLedger(keyLedger_);
        frame_.serve(gatewayLimits(settings.requests()).maxBodyBytes,
            [this](Http::Request request, Http::Responder respond) {
                if (JobHandler::accepts(request.target))
                    jobs_.handle(std::move(request), std::move(respond));
                else
                    gateway_.handle(std::move(request), std::move(respond));
            });
    }

    int run()
    {
        const auto status = node_.start();
        if (!Utils::isOk(status)) {
            Utils::logError("start-failed", Utils::error(status));
            return Utils::error(status).code == Utils::ErrorCode::InvalidArgument ? Daemon::ExitUsage
                                                                                  : Daemon::ExitFailure;
        }
        return frame_.run([this] { node_.stop(); });
    }

private:
    Node::NodeHandlers handlers()
    {
        Node::NodeHandlers result;
        result.policy = [this](const Schema::PolicyDocument& policy) { gateway_.setPolicy(policy); };
        result.vms = [this](std::span<const Schema::VmEntry* const> vms) { gateway_.setVms(vms); };
        result.burn = [this] { return gateway_.burnSamples(); };
        return result;
    }

    Daemon::Frame frame_;
    Gateway::ServiceGateway gateway_;
    Node::NodeServices node_;
    JobHandler jobs_;
    Gateway::KeyLedger keyLedger_;
};

EntryDaemon::EntryDaemon(const Schema::EntryDaemonSettings& settings)
    : d_(std::make_unique<Private>(settings))
{
}

EntryDaemon::~EntryDaemon() = default;

int EntryDaemon::run()
{
    return d_->run();
}

} // namespace Entry
