#include "entrydaemon.h"

#include "configuration/configurationcache.h"
#include "configuration/configurationstore.h"
#include "daemon/frame.h"
#include "daemon/periodictask.h"
#include "gateway/servicegateway.h"
#include "platform/http/httptableservice.h"
#include "platform/http/httpvmlist.h"
#include "utils/log/log.h"

#include <settings.pb.h>

#include <optional>
#include <vector>

namespace Entry {

namespace {

Http::ClientOptions platformOptions(const Schema::PlatformSettings& settings)
{
    return { settings.address(), static_cast<std::uint16_t>(settings.port()),
        std::chrono::milliseconds(settings.timeout_ms()) };
}

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
        : settings_(settings)
        , frame_(settings.listen(), [this] { return gateway_.metrics(); })
        , gateway_(frame_.context(),
              { settings.node().name(), settings.node().domain(), settings.node().region() },
              gatewayLimits(settings.requests()),
              std::chrono::milliseconds(settings.requests().default_deadline_ms()))
        , table_(platformOptions(settings.platform()))
        , vmList_(platformOptions(settings.platform()))
        , store_(table_)
        , cache_(settings.listen().threads())
    {
        frame_.readiness().set("configuration", "none is in force yet");
        frame_.readiness().set("vm-list", "not read yet");
        frame_.serve(gatewayLimits(settings.requests()).maxBodyBytes,
            [this](Http::Request request, Http::Responder respond) {
                gateway_.handle(std::move(request), std::move(respond));
            });
    }

    int run()
    {
        const auto pause = std::chrono::milliseconds(settings_.platform().poll_ms());
        const Daemon::PeriodicTask configurationPoll(pause, [this] { pollConfiguration(); });
        const Daemon::PeriodicTask vmPoll(pause, [this] { pollVms(); });
        return frame_.run();
    }

private:
    void pollConfiguration();
    void pollVms();

    Schema::EntryDaemonSettings settings_;
    Daemon::Frame frame_;
    Gateway::ServiceGateway gateway_;
    Platform::HttpTableService table_;
    Platform::HttpVmList vmList_;
    Configuration::ConfigurationStore store_;
    Configuration::ConfigurationCache cache_;
};

void EntryDaemon::Private::pollConfiguration()
{
    const auto loaded = store_.load();
    if (!Utils::isOk(loaded)) {
        Utils::logError("configuration-poll-failed", Utils::error(loaded));
        return;
    }
    const auto result = cache_.offer(Utils::value(loaded));
    if (result.outcome != Configuration::OfferOutcome::Applied)
        return;
    gateway_.setPolicy(cache_.current()->policy);
    frame_.readiness().set("configuration", "");
    Utils::log(Utils::LogLevel::Info, "configuration-applied",
        { { "revision", std::to_string(cache_.revision()) } });
}

void EntryDaemon::Private::pollVms()
{
    const auto list = vmList_.list();
    if (!Utils::isOk(list)) {
        Utils::logError("vm-list-poll-failed", Utils::error(list));
        return;
    }
    const auto& vms = Utils::value(list).vms();
    const std::vector<const Schema::VmEntry*> entries(vms.pointer_begin(), vms.pointer_end());
    gateway_.setVms(entries);
    frame_.readiness().set("vm-list", "");
}

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
