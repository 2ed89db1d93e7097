#include "servicegateway.h"

#include "backendpool.h"
#include "gatewaymetrics.h"
#include "keyledger.h"
#include "outcomeresponse.h"

#include "http/headers.h"
#include "telemetry/burncounter.h"

#include <platform.pb.h>
#include <policy.pb.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

namespace Gateway {

namespace {

constexpr std::uint32_t maxForwardedPerEntry = 64; // Requests sent on at once to one entry VM.
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

unsigned statusOf(const Utils::Error& error)
{
    return error.code == Utils::ErrorCode::NotFound ? statusNotFound : statusBadRequest;
}

Requests::Outcome outcomeOf(const Http::Response& response)
{
    const auto name = Http::findHeader(response.headers, "Geraniumquay-Outcome").value_or("");
    for (const Requests::Outcome outcome : { Requests::Outcome::Completed, Requests::Outcome::NotRun }) {
        if (name == Requests::outcomeName(outcome))
            return outcome;
    }
    return Requests::Outcome::Unknown;
}

BackendTarget targetOf(const Schema::VmEntry& vm)
{
    BackendTarget target;
    target.backend.name = vm.name();
    target.backend.domain = vm.domain();
    target.backend.region = vm.region();
    target.backend.slots = vm.slots();
    target.backend.connections = vm.connections();
    target.backend.isDraining = vm.leaving();
    target.address = { vm.address(), static_cast<std::uint16_t>(vm.port()) };
    target.isEntry = vm.role() == Schema::VM_ROLE_ENTRY;
    if (target.isEntry)
        target.backend.slots = target.backend.connections = maxForwardedPerEntry;
    return target;
}

} // namespace

class ServiceGateway::Private {
public:
    using Shard = std::shared_ptr<ServiceShard>;

    Private(boost::asio::io_context& context, EntryPlace entryPlace, const GatewayLimits& gatewayLimits,
        Utils::Duration deadline)
        : place(std::move(entryPlace))
        , defaultDeadline(deadline)
        , context_(context)
        , limits_(gatewayLimits)
        , pool_(context)
    {
    }

    Shard find(const std::string& service) const
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        const auto found = shards_.find(service);
        return found == shards_.end() ? nullptr : found->second;
    }

    bool hasClass(const std::string& name) const
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        return name.empty() || std::ranges::find(classes_, name) != classes_.end();
    }

    bool hasPolicy() const
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        return hasPolicy_;
    }

    std::map<std::string, Shard> shards() const
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        return shards_;
    }

    void applyPolicy(const Schema::PolicyDocument& policy);
    std::vector<BackendTarget> targetsOf(const std::string& service) const;
    bool isEntryAddress(const std::string& address) const;
    void rememberVms(std::span<const Schema::VmEntry* const> vms);

    void claimAndSubmit(
        const Shard& shard, Http::Request request, CallerRequest caller, Http::Responder respond);

    KeyLedger* keyLedger = nullptr;
    EntryPlace place;
    Utils::Duration defaultDeadline;
    Telemetry::BurnCounter burn;

private:
    bool isCandidate(const Schema::VmEntry& vm, const std::string& service) const;

    boost::asio::io_context& context_;
    GatewayLimits limits_;
    BackendPool pool_;
    mutable std::mutex mutex_;
    bool hasPolicy_ = false;
    std::map<std::string, Shard> shards_;
    std::vector<std::string> classes_;
    std::vector<Schema::VmEntry> vms_;
};

void ServiceGateway::Private::claimAndSubmit(
    const Shard& shard, Http::Request request, CallerRequest caller, Http::Responder respond)
{
    const Utils::TimePoint deadline = std::chrono::steady_clock::now() + caller.deadline;
    const KeyUse use { caller.service, caller.key, requestFingerprint(request), deadline };
    keyLedger->claim(use,
        [ledger = keyLedger, shard, deadline, request = std::move(request), caller = std::move(caller),
            respond = std::move(respond)](KeyDecision decision) mutable {
            if (!std::holds_alternative<Requests::KeyGranted>(decision.step)) {
                Http::Response response = keyResponse(decision.step);
                response.headers.push_back({ "Geraniumquay-Request-Id", caller.id });
                respond(std::move(response));
                return;
            }
            caller.deadline = deadline - std::chrono::steady_clock::now();
            const auto answered = [ledger, decision = std::move(decision), respond = std::move(respond)](
                                      Http::Response response) {
                ledger->record(decision, outcomeOf(response), response);
                respond(std::move(response));
            };
            shard->submit(std::move(request), std::move(caller), answered);
        });
}

// A service that left the policy keeps its shard only for the requests in progress.
void ServiceGateway::Private::applyPolicy(const Schema::PolicyDocument& policy)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    classes_.clear();
    for (const Schema::PriorityClassPolicy& one : policy.priority_class())
        classes_.push_back(one.name());
    std::map<std::string, Shard> kept;
    for (const Schema::ServicePolicy& service : policy.service()) {
        Shard& shard = kept[service.name()];
        const auto found = shards_.find(service.name());
        if (found != shards_.end()) {
            shard = found->second;
            continue;
        }
        Requests::CoreParameters parameters;
        parameters.service = service.name();
        parameters.domain = place.domain;
        parameters.region = place.region;
        parameters.requiresCredits = limits_.requireCredits;
        parameters.seed = std::hash<std::string> {}(place.name + "/" + service.name());
        shard = std::make_shared<ServiceShard>(context_, pool_, burn, std::move(parameters), limits_);
    }
    shards_.swap(kept);
    hasPolicy_ = true;
}

bool ServiceGateway::Private::isCandidate(const Schema::VmEntry& vm, const std::string& service) const
{
    if (vm.role() == Schema::VM_ROLE_BACKEND)
        return vm.service() == service && vm.domain() == place.domain;
    return vm.role() == Schema::VM_ROLE_ENTRY && vm.domain() != place.domain;
}

std::vector<BackendTarget> ServiceGateway::Private::targetsOf(const std::string& service) const
{
    std::vector<BackendTarget> targets;
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const Schema::VmEntry& vm : vms_) {
        if (isCandidate(vm, service))
            targets.push_back(targetOf(vm));
    }
    return targets;
}

bool ServiceGateway::Private::isEntryAddress(const std::string& address) const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    return std::ranges::any_of(vms_, [&address](const Schema::VmEntry& vm) {
        return vm.role() == Schema::VM_ROLE_ENTRY && vm.address() == address;
    });
}

void ServiceGateway::Private::rememberVms(std::span<const Schema::VmEntry* const> vms)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    vms_.clear();
    for (const Schema::VmEntry* vm : vms)
        vms_.push_back(*vm);
}

ServiceGateway::ServiceGateway(boost::asio::io_context& context, EntryPlace place,
    const GatewayLimits& limits, Utils::Duration defaultDeadline)
    : d_(std::make_unique<Private>(context, std::move(place), limits, defaultDeadline))
{
}

ServiceGateway::~ServiceGateway() = default;

void ServiceGateway::handle(Http::Request request, Http::Responder respond)
{
    auto parsed = parseCallerRequest(request, d_->defaultDeadline);
    const auto refuse = [&respond](unsigned status, const Utils::Error& error) {
        respond(Internal::outcomeResponse(status, Requests::Outcome::NotRun, error));
    };
    if (!Utils::isOk(parsed))
        return refuse(statusOf(Utils::error(parsed)), Utils::error(parsed));
    CallerRequest& caller = Utils::value(parsed);
    if (!d_->hasPolicy()) {
        return refuse(statusUnavailable,
            { Utils::ErrorCode::Unavailable, "request.route", {}, "no configuration is in force yet" });
    }
    const auto shard = d_->find(caller.service);
    if (!shard) {
        return refuse(statusNotFound,
            { Utils::ErrorCode::NotFound, "request.route", {}, "unknown service " + caller.service });
    }
    if (!d_->hasClass(caller.priorityClass)) {
        return refuse(statusBadRequest,
            { Utils::ErrorCode::InvalidArgument, "request.parse", {},
                "unknown class " + caller.priorityClass });
    }
    // Only another entry VM may say that it sent a request on: it holds the claim of the key.
    caller.forwarded = caller.forwarded && d_->isEntryAddress(request.peer);
    if (!d_->keyLedger || caller.key.empty() || caller.forwarded)
        shard->submit(std::move(request), std::move(caller), std::move(respond));
    else
        d_->claimAndSubmit(shard, std::move(request), std::move(caller), std::move(respond));
}

void ServiceGateway::useKeyLedger(KeyLedger& ledger)
{
    d_->keyLedger = &ledger;
}

void ServiceGateway::setPolicy(const Schema::PolicyDocument& policy)
{
    d_->burn.setObjectives(policy);
    d_->applyPolicy(policy);
    for (const auto& [service, shard] : d_->shards()) {
        shard->setTargets(d_->targetsOf(service));
        shard->setPolicy(policy);
    }
}

void ServiceGateway::setVms(std::span<const Schema::VmEntry* const> vms)
{
    d_->rememberVms(vms);
    for (const auto& [service, shard] : d_->shards())
        shard->setTargets(d_->targetsOf(service));
}

std::vector<std::string> ServiceGateway::services() const
{
    std::vector<std::string> names;
    for (const auto& [service, shard] : d_->shards())
        names.push_back(service);
    return names;
}

std::vector<Requests::Backend> ServiceGateway::ownBackends(const std::string& service) const
{
    std::vector<Requests::Backend> backends;
    for (const BackendTarget& target : d_->targetsOf(service)) {
        if (!target.isEntry)
            backends.push_back(target.backend);
    }
    return backends;
}

void ServiceGateway::setCredits(
    const std::string& service, std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry)
{
    if (const auto shard = d_->find(service))
        shard->setCredits(backend, slots, expiry);
}

Requests::RequestCounters ServiceGateway::counters(const std::string& service) const
{
    const auto shard = d_->find(service);
    return shard ? shard->counters() : Requests::RequestCounters {};
}

Schema::BurnSamples ServiceGateway::burnSamples() const
{
    return d_->burn.samples(std::chrono::steady_clock::now());
}

std::string ServiceGateway::metrics() const
{
    std::string text;
    for (const auto& [service, shard] : d_->shards())
        Internal::appendMetrics(service, shard->counters(), text);
    return text;
}

} // namespace Gateway
