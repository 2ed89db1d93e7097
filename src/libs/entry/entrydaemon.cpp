#include "entrydaemon.h"

#include "jobhandler.h"

#include "daemon/application.h"
#include "daemon/periodictask.h"
#include "gateway/creditmanager.h"
#include "gateway/idempotencykeystore.h"
#include "gateway/idempotencykeysweeper.h"
#include "gateway/servicegateway.h"
#include "node/nodeservices.h"
#include "utils/log/log.h"

#include <platform.pb.h>
#include <settings.pb.h>

#include <optional>
#include <set>

namespace Entry {

namespace {

Gateway::GatewayLimits gatewayLimits(const Schema::RequestSettings& settings)
{
    Gateway::GatewayLimits limits;
    limits.connectTimeout = std::chrono::milliseconds(settings.connect_timeout_ms());
    limits.progressTimeout = std::chrono::milliseconds(settings.progress_timeout_ms());
    limits.maxBodyBytes = std::uint64_t { settings.max_body_kb() } * 1024;
    limits.requireCredits = true;
    return limits;
}

Gateway::EntryVmIdentity entryIdentity(const Schema::EntryDaemonSettings& settings)
{
    return { settings.node().name(), settings.node().domain(), settings.node().region() };
}

std::uint64_t unixMicroseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

constexpr Utils::Duration creditInterval = std::chrono::milliseconds(250);
constexpr Utils::Duration keySweepInterval = std::chrono::seconds(5);
constexpr int maxSweepsPerRun = 10;

std::int64_t unixMilliseconds()
{
    return static_cast<std::int64_t>(unixMicroseconds() / 1000);
}

std::set<std::string> entryVmNames(std::span<const Schema::VmEntry* const> vms)
{
    std::set<std::string> names;
    for (const Schema::VmEntry* vm : vms) {
        if (vm->role() == Schema::VM_ROLE_ENTRY)
            names.insert(vm->name());
    }
    return names;
}

} // namespace

class EntryDaemon::Private {
public:
    explicit Private(const Schema::EntryDaemonSettings& settings)
        : application_(settings.listen(), [this] { return gateway_.metrics() + node_.metrics(); })
        , gateway_(application_.context(), entryIdentity(settings), gatewayLimits(settings.requests()),
              std::chrono::milliseconds(settings.requests().default_deadline_ms()))
        , credits_(gateway_, entryIdentity(settings), unixMicroseconds())
        , node_(Node::sharedSettings(settings, "entry"), application_.readiness(), handlers())
        , jobs_(node_.table())
        , keyStore_(node_.table(), settings.node().name())
    {
        application_.readiness().set("credits", "no slots are divided yet");
        gateway_.setIdempotencyKeyStore(keyStore_);
        application_.serve(gatewayLimits(settings.requests()).maxBodyBytes,
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
        creditReadTask_.emplace(creditInterval, [this] { credits_.synchronize(node_.table()); });
        creditExchangeTask_.emplace(creditInterval, [this] { exchangeCredits(); });
        keySweepTask_.emplace(keySweepInterval, [this] { sweepKeys(); });
        // Requests in progress need confirmed credits until they end, so these tasks stop after them.
        return application_.run({}, [this] {
            keySweepTask_.reset();
            creditReadTask_.reset();
            creditExchangeTask_.reset();
            node_.stop();
        });
    }

private:
    Node::NodeHandlers handlers()
    {
        Node::NodeHandlers result;
        result.policyChanged = [this](const Schema::PolicyDocument& policy) { gateway_.setPolicy(policy); };
        result.vmsListed = [this](std::span<const Schema::VmEntry* const> vms) {
            gateway_.setVms(vms);
            credits_.handleVmList(entryVmNames(vms));
        };
        result.burnSamples = [this] { return gateway_.burnSamples(); };
        result.creditReports = [this] { return credits_.reports(); };
        result.creditsReported = [this](const Schema::CreditReports& reports, Utils::TimePoint requestedAt) {
            credits_.handlePeerReports(reports, requestedAt);
        };
        return result;
    }

    // Repeats the sweep at once while it deletes a full batch of rows, up to maxSweepsPerRun times.
    void sweepKeys()
    {
        std::uint32_t deleted = Gateway::IdempotencyKeySweeper::rowsPerBatch;
        for (int step = 0; step < maxSweepsPerRun && deleted == Gateway::IdempotencyKeySweeper::rowsPerBatch;
             ++step)
            deleted = node_.peers().isAmongFirst(1)
                ? keySweeper_.sweepBatch(node_.table(), unixMilliseconds())
                : 0;
    }

    void exchangeCredits()
    {
        node_.peers().exchangeCredits();
        const bool hasCredits = credits_.applyShares() && node_.configuration().isReady();
        application_.readiness().set("credits", hasCredits ? "" : "no slots are divided yet");
    }

    Daemon::Application application_;
    Gateway::ServiceGateway gateway_;
    Gateway::CreditManager credits_; // Must outlive node_, whose callbacks use it, so it is declared first.
    Node::NodeServices node_;
    JobHandler jobs_;
    Gateway::IdempotencyKeyStore keyStore_;
    Gateway::IdempotencyKeySweeper keySweeper_;
    std::optional<Daemon::PeriodicTask> keySweepTask_;
    std::optional<Daemon::PeriodicTask> creditReadTask_;
    std::optional<Daemon::PeriodicTask> creditExchangeTask_;
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
