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

Gateway::EntryVmIdentity place(const Schema::EntryDaemonSettings& settings)
{
    return { settings.node().name(), settings.node().domain(), settings.node().region() };
}

std::uint64_t unixMicroseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

constexpr Utils::Duration creditPause = std::chrono::milliseconds(250);
constexpr Utils::Duration sweepPause = std::chrono::seconds(5);
constexpr int maxSweepSteps = 10;

std::int64_t unixMilliseconds()
{
    return static_cast<std::int64_t>(unixMicroseconds() / 1000);
}

std::set<std::string> entryNames(std::span<const Schema::VmEntry* const> vms)
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
        : frame_(settings.listen(), [this] { return gateway_.metrics() + node_.metrics(); })
        , gateway_(frame_.context(), place(settings), gatewayLimits(settings.requests()),
              std::chrono::milliseconds(settings.requests().default_deadline_ms()))
        , credits_(gateway_, place(settings), unixMicroseconds())
        , node_(Node::sharedSettings(settings, "entry"), frame_.readiness(), handlers())
        , jobs_(node_.table())
        , keyLedger_(node_.table(), settings.node().name())
    {
        frame_.readiness().set("credits", "no slots are divided yet");
        gateway_.setIdempotencyKeyStore(keyLedger_);
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
        creditReads_.emplace(creditPause, [this] { credits_.synchronize(node_.table()); });
        creditExchanges_.emplace(creditPause, [this] { exchangeCredits(); });
        keySweeps_.emplace(sweepPause, [this] { sweepKeys(); });
        // Requests in progress need their credits confirmed to the end.
        return frame_.run({}, [this] {
            keySweeps_.reset();
            creditReads_.reset();
            creditExchanges_.reset();
            node_.stop();
        });
    }

private:
    Node::NodeHandlers handlers()
    {
        Node::NodeHandlers result;
        result.policy = [this](const Schema::PolicyDocument& policy) { gateway_.setPolicy(policy); };
        result.vms = [this](std::span<const Schema::VmEntry* const> vms) {
            gateway_.setVms(vms);
            credits_.handleVmList(entryNames(vms));
        };
        result.burn = [this] { return gateway_.burnSamples(); };
        result.credits = [this] { return credits_.reports(); };
        result.creditsTold = [this](const Schema::CreditReports& reports, Utils::TimePoint asked) {
            credits_.handlePeerReports(reports, asked);
        };
        return result;
    }

    // A full page of old rows is followed by the next one at once.
    void sweepKeys()
    {
        std::uint32_t deleted = Gateway::IdempotencyKeySweeper::rowsPerBatch;
        for (int step = 0; step < maxSweepSteps && deleted == Gateway::IdempotencyKeySweeper::rowsPerBatch;
             ++step)
            deleted = node_.peers().isAmongFirst(1)
                ? keySweeper_.sweepBatch(node_.table(), unixMilliseconds())
                : 0;
    }

    void exchangeCredits()
    {
        node_.peers().exchangeCredits();
        const bool divided = credits_.applyShares() && node_.configuration().isReady();
        frame_.readiness().set("credits", divided ? "" : "no slots are divided yet");
    }

    Daemon::Application frame_;
    Gateway::ServiceGateway gateway_;
    Gateway::CreditManager credits_; // Used by the peers until they are gone.
    Node::NodeServices node_;
    JobHandler jobs_;
    Gateway::IdempotencyKeyStore keyLedger_;
    Gateway::IdempotencyKeySweeper keySweeper_;
    std::optional<Daemon::PeriodicTask> keySweeps_;
    std::optional<Daemon::PeriodicTask> creditReads_;
    std::optional<Daemon::PeriodicTask> creditExchanges_;
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
