#include "nodeservices.h"

#include "configuration/configurationstore.h"
#include "configuration/drains.h"
#include "daemon/periodictask.h"
#include "peering/peercredentials.h"
#include "platform/http/httpobjectstore.h"
#include "platform/http/httptableservice.h"
#include "platform/http/httpvmlist.h"
#include "utils/log/log.h"

#include <mutex>
#include <optional>

namespace Node {

namespace {

constexpr std::size_t pollersPerDomain = 2;
constexpr std::uint32_t backupPollFactor = 8;

Http::ClientOptions platformOptions(const Schema::PlatformSettings& settings)
{
    return { settings.address(), static_cast<std::uint16_t>(settings.port()),
        std::chrono::milliseconds(settings.timeout_ms()) };
}

Schema::Member makeSelf(const NodeSettings& settings)
{
    Schema::Member self;
    self.set_name(settings.node.name() + "/" + settings.role);
    self.set_role(settings.role);
    self.set_region(settings.node.region());
    self.set_domain(settings.node.domain());
    self.set_address(settings.listen.address());
    self.set_port(settings.listen.peer_port());
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    self.set_incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()));
    return self;
}

} // namespace

class NodeServices::Private {
public:
    Private(const NodeSettings& nodeSettings, Daemon::Readiness& ready, NodeHandlers nodeHandlers)
        : settings(nodeSettings)
        , readiness(ready)
        , handlers(std::move(nodeHandlers))
        , table(platformOptions(settings.platform))
        , objects(platformOptions(settings.platform))
        , cache(settings.listen.threads())
        , peers(makeSelf(settings), settings.security, peerHandlers())
        , vmList_(platformOptions(settings.platform))
        , store_(table)
    {
        readiness.set("configuration", "none is in force yet");
        readiness.set("vm-list", "not read yet");
    }

    void startPolls()
    {
        const auto interval = std::chrono::milliseconds(settings.platform.poll_ms());
        configurationPoll.emplace(interval, [this] { pollConfiguration(); });
        vmPoll.emplace(interval, [this] { pollVms(); });
    }

    NodeSettings settings;
    Daemon::Readiness& readiness;
    NodeHandlers handlers;
    Platform::HttpTableService table;
    Platform::HttpObjectStore objects;
    Configuration::ConfigurationCache cache;
    Peering::PeerNode peers;
    std::optional<Daemon::PeriodicTask> configurationPoll;
    std::optional<Daemon::PeriodicTask> vmPoll;

private:
    Peering::PeerHandlers peerHandlers();
    void pollConfiguration();
    void pollVms();
    void addSeeds(std::span<const Schema::VmEntry* const> vms);
    void applyConfiguration(const Schema::AcceptedConfiguration& accepted);
    bool shouldPollConfiguration();

    Platform::HttpVmList vmList_;
    Configuration::ConfigurationStore store_;
    std::mutex applyMutex_;
    std::uint32_t skippedPolls_ = 0;
};

Peering::PeerHandlers NodeServices::Private::peerHandlers()
{
    Peering::PeerHandlers result;
    result.currentConfiguration = [this] {
        const auto inForce = cache.current();
        return inForce ? inForce->accepted : Schema::AcceptedConfiguration();
    };
    result.configurationOffered
        = [this](const Schema::AcceptedConfiguration& accepted) { applyConfiguration(accepted); };
    result.burnSamples = handlers.burnSamples;
    result.creditReports = handlers.creditReports;
    result.creditsReported = handlers.creditsReported;
    result.memberChanged = handlers.memberChanged;
    return result;
}

// Until a configuration is in force every process polls the table; later only a few do so often.
bool NodeServices::Private::shouldPollConfiguration()
{
    if (!cache.isReady() || peers.isAmongFirst(pollersPerDomain)) {
        skippedPolls_ = 0;
        return true;
    }
    skippedPolls_ = (skippedPolls_ + 1) % backupPollFactor;
    return skippedPolls_ == 0;
}

void NodeServices::Private::pollConfiguration()
{
    if (!shouldPollConfiguration())
        return;
    const auto loaded = store_.load();
    if (!Utils::isOk(loaded)) {
        Utils::logError("configuration-poll-failed", Utils::error(loaded));
        return;
    }
    if (Utils::value(loaded).revision() > 0)
        applyConfiguration(Utils::value(loaded));
}

// The lock prevents two configurations from reaching the handlers in the wrong order.
void NodeServices::Private::applyConfiguration(const Schema::AcceptedConfiguration& accepted)
{
    const std::lock_guard<std::mutex> lock(applyMutex_);
    const auto result = cache.offer(accepted);
    if (result.outcome == Configuration::OfferOutcome::NotNewer)
        return;
    if (result.outcome != Configuration::OfferOutcome::Applied) {
        Utils::log(Utils::LogLevel::Error, "configuration-refused",
            { { "revision", std::to_string(accepted.revision()) },
                { "message", Settings::faultsToString(result.faults) } });
        return;
    }
    handlers.policyChanged(cache.current()->policy);
    peers.setConfigurationRevision(cache.revision());
    readiness.set("configuration", "");
    Utils::log(
        Utils::LogLevel::Info, "configuration-applied", { { "revision", std::to_string(cache.revision()) } });
}

void NodeServices::Private::addSeeds(std::span<const Schema::VmEntry* const> vms)
{
    for (const Schema::VmEntry* vm : vms) {
        const bool isSelf = vm->address() == settings.listen.address() && vm->peer_port() == peers.port();
        if (vm->role() == Schema::VM_ROLE_ENTRY && vm->peer_port() != 0 && !isSelf)
            peers.addSeed(vm->address(), vm->peer_port());
    }
}

void NodeServices::Private::pollVms()
{
    auto list = vmList_.list();
    if (!Utils::isOk(list)) {
        Utils::logError("vm-list-poll-failed", Utils::error(list));
        return;
    }
    if (const auto inForce = cache.current())
        Configuration::markDrained(inForce->policy, Utils::value(list));
    const auto& vms = Utils::value(list).vms();
    const std::vector<const Schema::VmEntry*> entries(vms.pointer_begin(), vms.pointer_end());
    addSeeds(entries);
    handlers.vmsListed(entries);
    readiness.set("vm-list", "");
}

NodeServices::NodeServices(const NodeSettings& settings, Daemon::Readiness& readiness, NodeHandlers handlers)
    : d_(std::make_unique<Private>(settings, readiness, std::move(handlers)))
{
}

NodeServices::~NodeServices() = default;

Utils::Status NodeServices::start()
{
    const auto securityError = Peering::checkSecurity(d_->settings.security, d_->settings.listen.address());
    if (!securityError.empty())
        return Utils::Error { Utils::ErrorCode::InvalidArgument, "settings.check", {}, securityError };
    auto status = d_->peers.start();
    if (!Utils::isOk(status))
        return status;
    Utils::log(Utils::LogLevel::Info, "listening",
        { { "name", "peers" }, { "address", d_->settings.listen.address() },
            { "port", std::to_string(d_->peers.port()) } });
    for (const Schema::PeerSettings& peer : d_->settings.peers)
        d_->peers.addSeed(peer.address(), peer.port());
    d_->startPolls();
    return status;
}

void NodeServices::stop()
{
    d_->configurationPoll.reset();
    d_->vmPoll.reset();
    d_->peers.leave();
}

Platform::TableService& NodeServices::table()
{
    return d_->table;
}

Platform::ObjectStore& NodeServices::objects()
{
    return d_->objects;
}

const Configuration::ConfigurationCache& NodeServices::configuration() const
{
    return d_->cache;
}

void NodeServices::pollConfigurationNow()
{
    if (d_->configurationPoll)
        d_->configurationPoll->wake();
}

Peering::PeerNode& NodeServices::peers()
{
    return d_->peers;
}

std::string NodeServices::metrics() const
{
    std::string text = "geraniumquay_configuration_revision " + std::to_string(d_->cache.revision()) + "\n";
    std::size_t alive = 0;
    for (const Schema::Member& member : d_->peers.members())
        alive += member.state() == Schema::MEMBER_ALIVE ? 1 : 0;
    return text + "geraniumquay_members_alive " + std::to_string(alive) + "\n";
}

} // namespace Node
