#include "servicegateway.h"

#include "backendpool.h"
#include "gatewaymetrics.h"
#include "idempotencykeystore.h"
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

constexpr std::uint32_t maxForwardedPerEntryVm = 64; // Concurrent requests forwarded to one entry VM.
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

unsigned statusForError(const Utils::Error& error)
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

BackendTarget makeTarget(const Schema::VmEntry& vm)
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
        target.backend.slots = target.backend.connections = maxForwardedPerEntryVm;
    return target;
}

} // namespace

class ServiceGateway::Private {
public:
    using DispatcherPtr = std::shared_ptr<ServiceDispatcher>;

    Private(boost::asio::io_context& context, EntryVmIdentity entryVmIdentity,
        const GatewayLimits& gatewayLimits, Utils::Duration deadline)
        : identity(std::move(entryVmIdentity))
        , defaultDeadline(deadline)
        , context_(context)
        , limits_(gatewayLimits)
        , pool_(context)
    {
    }

    DispatcherPtr findDispatcher(const std::string& service) const
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        const auto found = dispatchers_.find(service);
        return found == dispatchers_.end() ? nullptr : found->second;
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

    std::map<std::string, DispatcherPtr> dispatchers() const
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        return dispatchers_;
    }

    void applyPolicy(const Schema::PolicyDocument& policy);
    std::vector<BackendTarget> targetsOf(const std::string& service) const;
    bool isEntryAddress(const std::string& address) const;
    void storeVms(std::span<const Schema::VmEntry* const> vms);

    void claimKeyAndSubmit(const DispatcherPtr& dispatcher, Http::Request request, CallerRequest caller,
        Http::Responder respond);

    IdempotencyKeyStore* idempotencyKeyStore = nullptr;
    EntryVmIdentity identity;
    Utils::Duration defaultDeadline;
    Telemetry::BurnCounter burn;

private:
    bool isCandidate(const Schema::VmEntry& vm, const std::string& service) const;

    boost::asio::io_context& context_;
    GatewayLimits limits_;
    BackendPool pool_;
    mutable std::mutex mutex_;
    bool hasPolicy_ = false;
    std::map<std::string, DispatcherPtr> dispatchers_;
    std::vector<std::string> classes_;
    std::vector<Schema::VmEntry> vms_;
};

void ServiceGateway::Private::claimKeyAndSubmit(
    const DispatcherPtr& dispatcher, Http::Request request, CallerRequest caller, Http::Responder respond)
{
    const Utils::TimePoint deadline = std::chrono::steady_clock::now() + caller.deadline;
    const KeyClaimRequest claimRequest { caller.service, caller.key, requestFingerprint(request), deadline };
    idempotencyKeyStore->claim(claimRequest,
        [keyStore = idempotencyKeyStore, dispatcher, deadline, request = std::move(request),
            caller = std::move(caller), respond = std::move(respond)](KeyClaimResult claimResult) mutable {
            if (!std::holds_alternative<Requests::KeyGranted>(claimResult.step)) {
                Http::Response response = keyClaimResponse(claimResult.step);
                response.headers.push_back({ "Geraniumquay-Request-Id", caller.id });
                respond(std::move(response));
                return;
            }
            caller.deadline = deadline - std::chrono::steady_clock::now();
            const auto recordAndRespond = [keyStore, claimResult = std::move(claimResult),
                                              respond = std::move(respond)](Http::Response response) {
                keyStore->recordOutcome(claimResult, outcomeOf(response), response);
                respond(std::move(response));
            };
            dispatcher->submit(std::move(request), std::move(caller), recordAndRespond);
        });
}

// The dispatcher of a service removed from the policy only lives until its requests in progress end.
void ServiceGateway::Private::applyPolicy(const Schema::PolicyDocument& policy)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    classes_.clear();
    for (const Schema::PriorityClassPolicy& priorityClass : policy.priority_class())
        classes_.push_back(priorityClass.name());
    std::map<std::string, DispatcherPtr> remainingDispatchers;
    for (const Schema::ServicePolicy& service : policy.service()) {
        DispatcherPtr& dispatcher = remainingDispatchers[service.name()];
        const auto found = dispatchers_.find(service.name());
        if (found != dispatchers_.end()) {
            dispatcher = found->second;
            continue;
        }
        Requests::CoreParameters parameters;
        parameters.service = service.name();
        parameters.domain = identity.domain;
        parameters.region = identity.region;
        parameters.requiresCredits = limits_.requireCredits;
        parameters.seed = std::hash<std::string> {}(identity.name + "/" + service.name());
        dispatcher
            = std::make_shared<ServiceDispatcher>(context_, pool_, burn, std::move(parameters), limits_);
    }
    dispatchers_.swap(remainingDispatchers);
    hasPolicy_ = true;
}

bool ServiceGateway::Private::isCandidate(const Schema::VmEntry& vm, const std::string& service) const
{
    if (vm.role() == Schema::VM_ROLE_BACKEND)
        return vm.service() == service && vm.domain() == identity.domain;
    return vm.role() == Schema::VM_ROLE_ENTRY && vm.domain() != identity.domain;
}

std::vector<BackendTarget> ServiceGateway::Private::targetsOf(const std::string& service) const
{
    std::vector<BackendTarget> targets;
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const Schema::VmEntry& vm : vms_) {
        if (isCandidate(vm, service))
            targets.push_back(makeTarget(vm));
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

void ServiceGateway::Private::storeVms(std::span<const Schema::VmEntry* const> vms)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    vms_.clear();
    for (const Schema::VmEntry* vm : vms)
        vms_.push_back(*vm);
}

ServiceGateway::ServiceGateway(boost::asio::io_context& context, EntryVmIdentity identity,
    const GatewayLimits& limits, Utils::Duration defaultDeadline)
    : d_(std::make_unique<Private>(context, std::move(identity), limits, defaultDeadline))
{
}

ServiceGateway::~ServiceGateway() = default;

void ServiceGateway::handle(Http::Request request, Http::Responder respond)
{
    auto parsed = parseCallerRequest(request, d_->defaultDeadline);
    const auto reject = [&respond](unsigned status, const Utils::Error& error) {
        respond(Internal::outcomeResponse(status, Requests::Outcome::NotRun, error));
    };
    if (!Utils::isOk(parsed))
        return reject(statusForError(Utils::error(parsed)), Utils::error(parsed));
    CallerRequest& caller = Utils::value(parsed);
    if (!d_->hasPolicy()) {
        return reject(statusUnavailable,
            { Utils::ErrorCode::Unavailable, "request.route", {}, "no configuration is in force yet" });
    }
    const auto dispatcher = d_->findDispatcher(caller.service);
    if (!dispatcher) {
        return reject(statusNotFound,
            { Utils::ErrorCode::NotFound, "request.route", {}, "unknown service " + caller.service });
    }
    if (!d_->hasClass(caller.priorityClass)) {
        return reject(statusBadRequest,
            { Utils::ErrorCode::InvalidArgument, "request.parse", {},
                "unknown class " + caller.priorityClass });
    }
    // A forwarded request does not claim its key, because the entry VM that forwards it holds the claim. So
    // the header that marks a request as forwarded is only accepted from entry VMs.
    caller.forwarded = caller.forwarded && d_->isEntryAddress(request.peer);
    if (!d_->idempotencyKeyStore || caller.key.empty() || caller.forwarded)
        dispatcher->submit(std::move(request), std::move(caller), std::move(respond));
    else
        d_->claimKeyAndSubmit(dispatcher, std::move(request), std::move(caller), std::move(respond));
}

void ServiceGateway::setIdempotencyKeyStore(IdempotencyKeyStore& keyStore)
{
    d_->idempotencyKeyStore = &keyStore;
}

void ServiceGateway::setPolicy(const Schema::PolicyDocument& policy)
{
    d_->burn.setObjectives(policy);
    d_->applyPolicy(policy);
    for (const auto& [service, dispatcher] : d_->dispatchers()) {
        dispatcher->setTargets(d_->targetsOf(service));
        dispatcher->setPolicy(policy);
    }
}

void ServiceGateway::setVms(std::span<const Schema::VmEntry* const> vms)
{
    d_->storeVms(vms);
    for (const auto& [service, dispatcher] : d_->dispatchers())
        dispatcher->setTargets(d_->targetsOf(service));
}

std::vector<std::string> ServiceGateway::services() const
{
    std::vector<std::string> names;
    for (const auto& [service, dispatcher] : d_->dispatchers())
        names.push_back(service);
    return names;
}

std::vector<Requests::Backend> ServiceGateway::localBackends(const std::string& service) const
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
    if (const auto dispatcher = d_->findDispatcher(service))
        dispatcher->setCredits(backend, slots, expiry);
}

Requests::RequestCounters ServiceGateway::counters(const std::string& service) const
{
    const auto dispatcher = d_->findDispatcher(service);
    return dispatcher ? dispatcher->counters() : Requests::RequestCounters {};
}

Schema::BurnSamples ServiceGateway::burnSamples() const
{
    return d_->burn.samples(std::chrono::steady_clock::now());
}

std::string ServiceGateway::metrics() const
{
    std::string text;
    for (const auto& [service, dispatcher] : d_->dispatchers())
        Internal::appendMetrics(service, dispatcher->counters(), text);
    return text;
}

} // namespace Gateway
