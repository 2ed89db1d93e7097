#include "scheduledaemon.h"

#include "batch/rowkeys.h"
#include "daemon/application.h"
#include "daemon/periodictask.h"
#include "node/nodeservices.h"
#include "placement/interferenceawareplacer.h"
#include "platform/http/httpworkeragent.h"
#include "shardset.h"
#include "utils/identifiers.h"
#include "utils/log/log.h"
#include "utils/steadyclock.h"

#include <settings.pb.h>

#include <boost/asio/thread_pool.hpp>

#include <optional>
#include <thread>

namespace Scheduling {

namespace {

constexpr std::size_t tableThreadCount = 4;
constexpr std::size_t workerThreadCount = 32;
constexpr int ticksPerRound = 2;
// The timeout of a call to a worker is the lease divided by this number, so that several calls fit into one
// lease.
constexpr int workerCallsPerLease = 4;
// Limits how long a planned stop waits for the handover of all shards; the process then stops without it.
constexpr auto handoverTimeout = std::chrono::seconds(10);
constexpr auto handoverPollInterval = std::chrono::milliseconds(20);
constexpr auto shardScanInterval = std::chrono::seconds(30);
constexpr std::uint32_t shardScanLimit = 1000;

Batch::ShardOwnerOptions ownerOptions(const Schema::ScheduleDaemonSettings& settings)
{
    Batch::ShardOwnerOptions options;
    options.owner = settings.node().name() + "/" + Utils::makeUniqueId();
    options.region = settings.node().region();
    options.domain = settings.node().domain();
    options.lease = std::chrono::milliseconds(settings.batch().lease_ms());
    options.roundInterval = std::chrono::milliseconds(settings.batch().round_ms());
    options.maxRecordedAhead = settings.batch().stock();
    return options;
}

} // namespace

class ScheduleDaemon::Private {
public:
    explicit Private(const Schema::ScheduleDaemonSettings& settings)
        : options_(ownerOptions(settings))
        , application_(settings.listen(), [this] { return shards_.metrics() + node_.metrics(); })
        , node_(Node::sharedSettings(settings, "schedule"), application_.readiness(), handlers())
        , agent_(options_.lease / workerCallsPerLease)
        , shards_(options_,
              [] {
                  return std::make_unique<Placement::InterferenceAwarePlacer>(
                      Placement::InterferenceAwarePlacer::Parameters {});
              },
              { node_.table(), agent_, clock_, tableThreads_, workerThreads_ })
    {
    }

    ~Private()
    {
        tickTask_.reset();
        shardScanTask_.reset();
        tableThreads_.stop();
        workerThreads_.stop();
        tableThreads_.join();
        workerThreads_.join();
    }

    Private(const Private&) = delete;
    Private& operator=(const Private&) = delete;

    int run()
    {
        const auto status = node_.start();
        if (!Utils::isOk(status)) {
            Utils::logError("start-failed", Utils::error(status));
            return Utils::error(status).code == Utils::ErrorCode::InvalidArgument ? Daemon::ExitUsage
                                                                                  : Daemon::ExitFailure;
        }
        tickTask_.emplace(options_.roundInterval / ticksPerRound, [this] { shards_.tick(); });
        shardScanTask_.emplace(shardScanInterval, [this] { addStoredShards(); });
        return application_.run([this] { stop(); });
    }

private:
    Node::NodeHandlers handlers()
    {
        Node::NodeHandlers result;
        result.policyChanged = [this](const Schema::PolicyDocument& policy) { shards_.setPolicy(policy); };
        result.vmsListed = [this](std::span<const Schema::VmEntry* const> vms) { shards_.setVms(vms); };
        return result;
    }

    void addStoredShards()
    {
        const auto reply = node_.table().scan(Batch::shardPrefix(), "", shardScanLimit);
        if (!Utils::isOk(reply))
            return;
        for (const Schema::Row& row : Utils::value(reply).rows()) {
            Schema::ShardRow shard;
            if (shard.ParseFromString(row.value()) && shard.domain() == options_.domain)
                shards_.addShard(row.key().substr(Batch::shardPrefix().size()));
        }
    }

    void stop()
    {
        shards_.release();
        const auto deadline = std::chrono::steady_clock::now() + handoverTimeout;
        while (!shards_.isReleased() && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(handoverPollInterval);
        if (!shards_.isReleased())
            Utils::log(Utils::LogLevel::Warning, "hand-over-incomplete");
        tickTask_.reset();
        shardScanTask_.reset();
        node_.stop();
    }

    Batch::ShardOwnerOptions options_;
    Utils::SteadyClock clock_;
    boost::asio::thread_pool tableThreads_ { tableThreadCount };
    boost::asio::thread_pool workerThreads_ { workerThreadCount };
    Daemon::Application application_;
    Node::NodeServices node_;
    Platform::HttpWorkerAgent agent_;
    ShardSet shards_;
    std::optional<Daemon::PeriodicTask> tickTask_;
    std::optional<Daemon::PeriodicTask> shardScanTask_;
};

ScheduleDaemon::ScheduleDaemon(const Schema::ScheduleDaemonSettings& settings)
    : d_(std::make_unique<Private>(settings))
{
}

ScheduleDaemon::~ScheduleDaemon() = default;

int ScheduleDaemon::run()
{
    return d_->run();
}

} // namespace Scheduling
