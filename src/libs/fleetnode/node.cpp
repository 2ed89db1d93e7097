#include "node.h"

#include "callerservice.h"
#include "connectionmonitor.h"
#include "evacuationrequests.h"
#include "jobrouter.h"
#include "nodelimits.h"
#include "peerclient.h"
#include "shardownership.h"
#include "tablewatcher.h"
#include "taillatencyexchange.h"

#include "fleet/queuetable.h"
#include "http/clientconnection.h"
#include "http/connectionregistry.h"
#include "http/headers.h"
#include "http/server.h"
#include "utils/log/log.h"

#include <boost/asio/post.hpp>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// The list of workers is read this many times within the drain time, so that a draining worker is noticed
// before it stops, even if one read fails.
constexpr int pollsPerDrain = 3;
constexpr milliseconds configurationBatchPause { 100 };
// Part of the stop grace period that is reserved for the exit of the process; when only this part remains,
// an incomplete stop is ended.
constexpr milliseconds stopReserve { 900 };

Utils::Duration workerPollInterval(const NodeContext& context)
{
    return milliseconds(context.settings.dispatch().drain_ms()) / pollsPerDrain;
}

// The configuration may set a lower limit on the bodies of callers; a message from a peer holds a single job.
Http::ServerOptions serverOptions(const char* name, const std::string& endpoint, const NodeLimits& limits,
    std::size_t maxConnections, std::shared_ptr<Http::ConnectionRegistry> registry)
{
    Http::ServerOptions options;
    options.name = name;
    options.connections = std::move(registry);
    options.maxConnections = maxConnections;
    options.maxBodyBytes = limits.bodyBytes;
    options.maxBufferBytes = limits.bufferBytes;
    options.idleTimeout = limits.requestTime;
    const auto parsed = Http::parseEndpoint(endpoint);
    // The settings have been validated with the same parser.
    if (Utils::isOk(parsed)) {
        options.address = Utils::value(parsed).address;
        options.port = Utils::value(parsed).port;
    }
    return options;
}

} // namespace

class Node::Private {
public:
    explicit Private(NodeContext& context);

    Utils::Status start();
    void stop(std::function<void()> done);

private:
    /*! Decoded row of a worker. */
    struct DecodedWorker {
        std::uint64_t version = 0;
        Utils::Result<Ports::WorkerInfo> worker;
    };

    void onConfiguration(const TableWatcher::Rows& rows);
    void onWorkers(const TableWatcher::Rows& rows);
    void onPeerRequest(const Http::Request& request, const Http::Responder& respond);
    void onMonitoringRequest(const Http::Request& request, const Http::Responder& respond);
    void completeStopStep();

    NodeContext& context_;
    NodeLimits limits_;
    ConnectionMonitor connectionMonitor_;
    std::shared_ptr<Http::ConnectionRegistry> connections_;
    Fleet::QueueTable queues_;
    PeerClient handoverPeerClient_;
    TailLatencyExchange tailLatencyExchange_;
    ShardOwnership ownership_;
    EvacuationRequests evacuationRequests_;
    JobRouter jobRouter_;
    CallerService callerService_;
    TableWatcher configurationWatcher_;
    TableWatcher workerWatcher_;
    Http::Server callerServer_;
    Http::Server peerServer_;
    Http::Server readinessServer_;
    std::unique_ptr<Http::Server> metricsServer_; //!< Null if the settings have no metrics endpoint.
    Timer stopTimer_;
    std::function<void()> onStopped_;
    int remainingStopSteps_ = 0; //!< Unfinished ones of two: shard handover and requests.
    bool isStopping_ = false;
    std::map<std::string, DecodedWorker> decodedWorkers_; //!< Avoids decoding unchanged rows.
};

Node::Private::Private(NodeContext& context)
    : context_(context)
    , limits_(parseNodeLimits(context.settings.limits()))
    , connectionMonitor_(context)
    , connections_(std::make_shared<Http::ConnectionRegistry>(Http::ConnectionLimits { limits_.requestBytes },
          [this](std::string_view listener, std::string_view reason, std::size_t count) {
              connectionMonitor_.onExcess(listener, reason, count);
          }))
    , handoverPeerClient_(context)
    , tailLatencyExchange_(context)
    , ownership_(context, handoverPeerClient_, tailLatencyExchange_.model())
    , evacuationRequests_(context)
    , jobRouter_(context, ownership_)
    , callerService_(context, queues_, jobRouter_, ownership_)
    , configurationWatcher_(context, context.platform.operatorTable, TableWatcher::Mode::Follow,
          configurationBatchPause, [this](const auto& rows) { onConfiguration(rows); })
    , workerWatcher_(context, context.platform.workerTable, TableWatcher::Mode::Poll,
          workerPollInterval(context), [this](const auto& rows) { onWorkers(rows); })
    , callerServer_(context.io,
          serverOptions("callers", context.settings.endpoints().callers(), limits_, limits_.callerConnections,
              connections_),
          [this](const Http::Request& request, const Http::Responder& respond) {
              callerService_.handle(request, respond);
          })
    , peerServer_(context.io,
          serverOptions(
              "peers", context.settings.endpoints().peers(), limits_, limits_.peerConnections, connections_),
          [this](const Http::Request& request, const Http::Responder& respond) {
              onPeerRequest(request, respond);
          })
    , readinessServer_(context.io,
          serverOptions("readiness", context.settings.endpoints().readiness(), limits_,
              limits_.monitoringConnections, connections_),
          [this](const Http::Request& request, const Http::Responder& respond) {
              onMonitoringRequest(request, respond);
          })
    , stopTimer_(context.io)
{
    if (!context.settings.endpoints().metrics().empty()) {
        metricsServer_ = std::make_unique<Http::Server>(context.io,
            serverOptions("metrics", context.settings.endpoints().metrics(), limits_,
                limits_.monitoringConnections, connections_),
            [this](const Http::Request& request, const Http::Responder& respond) {
                onMonitoringRequest(request, respond);
            });
    }
}

Utils::Status Node::Private::start()
{
    for (Http::Server* server : { &callerServer_, &peerServer_, &readinessServer_ }) {
        Utils::Status status = server->start();
        if (!Utils::isOk(status))
            return status;
    }
    if (metricsServer_) {
        Utils::Status status = metricsServer_->start();
        if (!Utils::isOk(status))
            return status;
    }
    ownership_.setWorkerListRequester([this] {
        tailLatencyExchange_.setNeeded(true);
        workerWatcher_.pollNow();
    });
    ownership_.setEvacuationSource([this] {
        return ShardOwnership::Evacuations { evacuationRequests_.domains(),
            evacuationRequests_.knownUntil(configurationWatcher_.currentAt()) };
    });
    configurationWatcher_.start();
    ownership_.start();
    return Utils::success();
}

void Node::Private::onConfiguration(const TableWatcher::Rows& rows)
{
    evacuationRequests_.update(rows);
    ownership_.applyEvacuations();
    const auto row = rows.find(context_.platform.configurationKey);
    if (row == rows.end())
        return;
    auto configuration = context_.platform.decodeConfiguration(row->second.value);
    if (!Utils::isOk(configuration))
        return Utils::logError("configuration-refused", Utils::error(configuration));
    const std::uint64_t revision = Utils::value(configuration).revision;
    if (!queues_.apply(Utils::value(std::move(configuration))))
        return;
    ownership_.setConfigurationRevision(revision);
    context_.metrics.set("geraniumquay_configuration_revision", {}, static_cast<double>(revision));
    Utils::log(Utils::LogLevel::Info, "configuration-in-force", { { "revision", std::to_string(revision) } });
}

void Node::Private::onWorkers(const TableWatcher::Rows& rows)
{
    std::map<std::string, DecodedWorker> decoded;
    std::vector<Ports::WorkerInfo> workers;
    for (const auto& [key, row] : rows) {
        auto known = decodedWorkers_.extract(key);
        if (known.empty() || known.mapped().version != row.version) {
            DecodedWorker entry { row.version, context_.platform.decodeWorker(row) };
            if (!Utils::isOk(entry.worker))
                Utils::logError("worker-entry-ignored", Utils::error(entry.worker));
            decoded.emplace(key, std::move(entry));
        } else {
            decoded.insert(std::move(known));
        }
        const DecodedWorker& entry = decoded.at(key);
        if (Utils::isOk(entry.worker))
            workers.push_back(Utils::value(entry.worker));
    }
    decodedWorkers_ = std::move(decoded);
    ownership_.setWorkers(workers, workerWatcher_.readStartedAt());
    evacuationRequests_.reportUnknown(ownership_.knownDomains());
    // A node that neither owns or claims a shard nor maintains the rack map needs no list of workers; it
    // reads the list at once when that changes.
    workerWatcher_.setPause(
        ownership_.needsWorkerList() ? std::optional(workerPollInterval(context_)) : std::nullopt);
    tailLatencyExchange_.setNeeded(ownership_.ownsShards());
}

void Node::Private::onPeerRequest(const Http::Request& request, const Http::Responder& respond)
{
    FleetSchema::PeerRequest call;
    if (request.target != peerPath || !call.ParseFromString(request.body))
        return respond(Http::jsonResponse(400, R"({"error":"not a call of a peer"})"));
    ownership_.serve(call, [respond](const FleetSchema::PeerReply& reply) {
        Http::Response response;
        response.headers.push_back({ "Content-Type", "application/x-protobuf" });
        response.body = reply.SerializeAsString();
        respond(std::move(response));
    });
}

void Node::Private::onMonitoringRequest(const Http::Request& request, const Http::Responder& respond)
{
    if (request.target == "/metrics") {
        Http::Response response;
        response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
        response.body = context_.metrics.toPrometheus();
        return respond(std::move(response));
    }
    const bool isReady = !isStopping_ && queues_.revision() > 0 && ownership_.isStoreReachable();
    respond(Http::jsonResponse(isReady ? 200 : 503, isReady ? R"({"ready":true})" : R"({"ready":false})"));
}

void Node::Private::stop(std::function<void()> done)
{
    isStopping_ = true;
    onStopped_ = std::move(done);
    remainingStopSteps_ = 2;
    const milliseconds grace(context_.settings.dispatch().grace_ms());
    stopTimer_.start(std::max<Utils::Duration>(grace - stopReserve, milliseconds(1)), [this] {
        Utils::log(Utils::LogLevel::Warning, "stop-incomplete", {});
        remainingStopSteps_ = 1;
        completeStopStep();
    });
    ownership_.leave([this] { completeStopStep(); });
    callerServer_.stop([this] { boost::asio::post(context_.io, [this] { completeStopStep(); }); });
}

void Node::Private::completeStopStep()
{
    if (--remainingStopSteps_ > 0 || !onStopped_)
        return;
    const auto onStopped = std::move(onStopped_);
    onStopped_ = nullptr;
    onStopped();
}

Node::Node(NodeContext& context)
    : d_(std::make_unique<Private>(context))
{
}

Node::~Node() = default;

Utils::Status Node::start()
{
    return d_->start();
}

void Node::stop(std::function<void()> done)
{
    d_->stop(std::move(done));
}

} // namespace FleetNode
