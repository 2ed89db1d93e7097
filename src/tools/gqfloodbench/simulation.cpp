#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace FloodBench {

namespace {

constexpr double serviceTimeSigma = 0.5; // Standard deviation of the logarithm of service times.
constexpr double noisySlowdown = 3;
constexpr std::size_t noisyBackendInterval = 10;
constexpr std::size_t flakyBackendInterval = 5;
constexpr Utils::Duration noiseHalfPeriod = std::chrono::seconds(4);
constexpr Utils::Duration failureResponseTime = std::chrono::milliseconds(1);
constexpr Utils::Duration sendCountStart = std::chrono::seconds(5);
constexpr std::uint64_t callersPerClass = 40;

double toSeconds(Utils::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Utils::Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Utils::Duration>(std::chrono::duration<double>(value));
}

} // namespace

Simulation::Simulation(const FleetSize& fleet, const Scenario& scenario, const PolicyFactory& makePolicy)
    : fleet_(fleet)
    , scenario_(scenario)
    , random_(scenario.seed)
{
    std::vector<std::vector<Requests::Backend>> byDomain(fleet.domains);
    for (std::uint32_t index = 0; index < fleet.backends; ++index) {
        const std::uint32_t domain = index % fleet.domains;
        const std::string name = "b" + std::to_string(index);
        backendIndex_[name] = index;
        backends_.push_back({ .domain = domain, .waiting = {} });
        byDomain[domain].push_back({ .name = name,
            .domain = std::to_string(domain),
            .region = "r",
            .slots = fleet.slots,
            .connections = fleet.connections });
    }
    for (std::uint32_t index = 0; index < fleet.entryVms; ++index) {
        const std::uint32_t domain = index % fleet.domains;
        const std::uint32_t members = (fleet.entryVms - domain + fleet.domains - 1) / fleet.domains;
        entryVms_.push_back({ .domain = domain,
            .policy = makePolicy(std::to_string(domain), index / fleet.domains, members, byDomain[domain]) });
    }
    for (auto& classes : measurement_.classes)
        classes.resize(scenario.classes.size());
    measurement_.urgentWindows.resize(static_cast<std::size_t>(simulationEnd / std::chrono::seconds(1)));
    computeAvailableSlotSeconds();
}

Measurement Simulation::run()
{
    // Two arrival streams per class: base load and flood.
    for (std::size_t stream = 0; stream < 2 * scenario_.classes.size(); ++stream)
        scheduleArrival(stream);
    if (scenario_.losesDomain)
        schedule(timeAt(floodStart + domainLossDelay), EventKind::DomainLoss, 0);
    while (!events_.empty() && events_.top().when < timeAt(simulationEnd)) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.when;
        handle(event);
    }
    return std::move(measurement_);
}

void Simulation::schedule(Utils::TimePoint when, EventKind kind, std::size_t index, std::uint64_t id)
{
    events_.push({ when, ++lastSequence_, kind, index, id });
}

void Simulation::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        arriveAtEntryVm(event.index);
        return;
    case EventKind::BackendArrival:
        arriveAtBackend(event.id);
        return;
    case EventKind::ServiceEnd:
        endService(event.id);
        return;
    case EventKind::AttemptEnd:
        endAttempt(event.id);
        return;
    case EventKind::DomainLoss:
        loseDomain();
        return;
    case EventKind::Wakeup:
        EntryVm& entryVm = entryVms_[event.index];
        if (entryVm.wakeupAt != event.when || (isDomainLost_ && entryVm.domain == 0))
            return;
        entryVm.wakeupAt = Utils::TimePoint::max();
        entryVm.policy->tick(now_);
        executeActions(event.index);
        return;
    }
}

void Simulation::scheduleArrival(std::size_t stream)
{
    const ClassLoad& load = scenario_.classes[stream / 2];
    const bool isFlood = stream % 2 == 1;
    const double rate = capacityPerSecond() * (isFlood ? load.floodLoad : load.baseLoad);
    if (rate <= 0)
        return;
    const Utils::TimePoint from = isFlood ? std::max(now_, timeAt(floodStart)) : now_;
    const auto when = from + fromSeconds(std::exponential_distribution<double>(rate)(random_));
    if (!isFlood || when < timeAt(floodEnd))
        schedule(when, EventKind::Arrival, stream);
}

void Simulation::arriveAtEntryVm(std::size_t stream)
{
    const std::size_t classIndex = stream / 2;
    const bool isBase = stream % 2 == 0;
    const ClassLoad& load = scenario_.classes[classIndex];
    const Requests::RequestId id = ++lastRequest_;
    requests_[id] = {
        .classIndex = classIndex, .isBase = isBase, .submittedAt = now_, .deadline = now_ + load.deadline
    };
    ClassResult& target = resultFor(now_, classIndex);
    ++target.offered;
    target.baseOffered += isBase;
    const std::string caller = (isBase ? "base" : "flood") + std::to_string(random_() % callersPerClass);
    const std::size_t entryVm = chooseEntryVm();
    entryVms_[entryVm].policy->submit({ .id = id,
                                          .service = "app",
                                          .priorityClass = load.name,
                                          .caller = caller,
                                          .deadline = now_ + load.deadline,
                                          .isIdempotent = true,
                                          .key = {} },
        now_);
    executeActions(entryVm);
    scheduleArrival(stream);
}

void Simulation::arriveAtBackend(std::uint64_t id)
{
    Exchange& exchange = exchanges_.at(id);
    BackendServer& backend = backends_[exchange.backend];
    const auto connectionsInUse = static_cast<std::uint32_t>(backend.running + backend.waiting.size());
    if (connectionsInUse >= fleet_.connections) {
        exchange.result = AttemptResult::Refused;
        schedule(now_ + oneWayDelay, EventKind::AttemptEnd, 0, id);
        return;
    }
    measurement_.maxBackendRequests = std::max(measurement_.maxBackendRequests, connectionsInUse + 1);
    if (backend.running < fleet_.slots)
        startService(id);
    else
        backend.waiting.push_back(id);
}

void Simulation::startService(std::uint64_t id)
{
    Exchange& exchange = exchanges_.at(id);
    ++backends_[exchange.backend].running;
    const bool isFlaky
        = scenario_.hasFlakyBackends && exchange.backend % flakyBackendInterval == 1 && random_() % 2 == 0;
    const bool isFailing = isFlaky || (scenario_.hasFailingBackend && exchange.backend == 0);
    const Utils::Duration length = isFailing ? failureResponseTime : serviceTime(exchange.backend);
    exchange.result = isFailing ? AttemptResult::Failed : AttemptResult::Completed;
    exchange.slotSeconds = toSeconds(length);
    schedule(now_ + length, EventKind::ServiceEnd, 0, id);
}

void Simulation::endService(std::uint64_t id)
{
    const Exchange exchange = exchanges_.at(id);
    BackendServer& backend = backends_[exchange.backend];
    --backend.running;
    if (!backend.waiting.empty()) {
        const std::uint64_t next = backend.waiting.front();
        backend.waiting.pop_front();
        startService(next);
    }
    if (exchange.isClosed)
        exchanges_.erase(id);
    else
        schedule(now_ + oneWayDelay, EventKind::AttemptEnd, 0, id);
}

void Simulation::endAttempt(std::uint64_t id)
{
    const Exchange exchange = exchanges_.at(id);
    exchanges_.erase(id);
    if (exchange.isClosed || (isDomainLost_ && entryVms_[exchange.entryVm].domain == 0))
        return;
    if (const auto request = requests_.find(exchange.request); request != requests_.end()) {
        request->second.openExchange = 0;
        request->second.slotSeconds = exchange.slotSeconds;
        request->second.hasFailed = exchange.result == AttemptResult::Failed;
    }
    entryVms_[exchange.entryVm].policy->onAttemptEnded(exchange.attempt, exchange.result, now_);
    executeActions(exchange.entryVm);
}

void Simulation::loseDomain()
{
    isDomainLost_ = true;
}

void Simulation::executeActions(std::size_t entryVm)
{
    std::vector<Requests::Action> actions;
    EntryVm& vm = entryVms_[entryVm];
    for (vm.policy->takeActions(actions); !actions.empty(); vm.policy->takeActions(actions)) {
        const std::vector<Requests::Action> batch = std::move(actions);
        actions.clear();
        for (const Requests::Action& action : batch)
            std::visit([this, entryVm](const auto& item) { handleAction(entryVm, item); }, action);
    }
    const auto wakeupAt = vm.policy->nextWakeup();
    if (!wakeupAt || *wakeupAt >= vm.wakeupAt)
        return;
    vm.wakeupAt = std::max(*wakeupAt, now_);
    schedule(vm.wakeupAt, EventKind::Wakeup, entryVm);
}

void Simulation::handleAction(std::size_t entryVm, const Requests::Dispatch& dispatch)
{
    Request& request = requests_.at(dispatch.request);
    const std::size_t backend = backendIndex_.at(dispatch.backend);
    const std::uint64_t id = ++lastExchange_;
    request.openExchange = id;
    exchanges_[id] = {
        .entryVm = entryVm, .backend = backend, .request = dispatch.request, .attempt = dispatch.attempt
    };
    ++measurement_.sends[phaseAt(now_)];
    measurement_.firstSends[phaseAt(now_)] += !request.wasSent;
    request.wasSent = true;
    if (now_ > timeAt(sendCountStart)) {
        ++measurement_.sendsToAnyBackend;
        measurement_.sendsToFailingBackend += backend == 0;
    }
    schedule(now_ + oneWayDelay, EventKind::BackendArrival, backend, id);
}

void Simulation::handleAction(std::size_t entryVm, const Requests::Finish& finish)
{
    const auto found = requests_.find(finish.request);
    const Request request = found->second;
    requests_.erase(found);
    if (const auto open = exchanges_.find(request.openExchange); open != exchanges_.end()) {
        open->second.isClosed = true;
        entryVms_[entryVm].policy->onAttemptEnded(open->second.attempt, AttemptResult::Closed, now_);
    }
    if (finish.outcome != Requests::Outcome::Completed || request.hasFailed || now_ > request.deadline)
        return;
    ClassResult& target = resultFor(request.submittedAt, request.classIndex);
    ++target.completedInTime;
    target.baseCompletedInTime += request.isBase;
    resultFor(now_, request.classIndex).usefulSlotSeconds += request.slotSeconds;
    if (!request.isBase)
        return;
    const auto latency = static_cast<float>(toSeconds(now_ - request.submittedAt));
    target.latencies.push_back(latency);
    if (request.classIndex == 0)
        measurement_
            .urgentWindows[static_cast<std::size_t>(
                request.submittedAt.time_since_epoch() / std::chrono::seconds(1))]
            .push_back(latency);
}

void Simulation::handleAction(std::size_t, const Requests::Reject& reject)
{
    const auto found = requests_.find(reject.request);
    ++resultFor(found->second.submittedAt, found->second.classIndex).notRun;
    requests_.erase(found);
}

std::size_t Simulation::chooseEntryVm()
{
    const std::uint32_t first = isDomainLost_ ? 1 : 0;
    const std::uint32_t domain = first + static_cast<std::uint32_t>(random_() % (fleet_.domains - first));
    const std::uint32_t members = (fleet_.entryVms - domain + fleet_.domains - 1) / fleet_.domains;
    return domain + fleet_.domains * (random_() % members);
}

Utils::Duration Simulation::serviceTime(std::size_t backend)
{
    const double mean = toSeconds(meanServiceTime);
    std::lognormal_distribution<double> distribution(
        std::log(mean) - serviceTimeSigma * serviceTimeSigma / 2, serviceTimeSigma);
    const bool isNoisyPhase = (now_.time_since_epoch() / noiseHalfPeriod) % 2 == 1;
    const bool isNoisy = scenario_.hasNoisyBackends && backend % noisyBackendInterval == 3 && isNoisyPhase;
    return fromSeconds(distribution(random_) * (isNoisy ? noisySlowdown : 1));
}

ClassResult& Simulation::resultFor(Utils::TimePoint when, std::size_t classIndex)
{
    return measurement_.classes[phaseAt(when)][classIndex];
}

std::size_t Simulation::phaseAt(Utils::TimePoint when)
{
    if (when < timeAt(floodStart))
        return static_cast<std::size_t>(RunPhase::Before);
    return static_cast<std::size_t>(when < timeAt(floodEnd) ? RunPhase::Flood : RunPhase::After);
}

double Simulation::capacityPerSecond() const
{
    return fleet_.backends * fleet_.slots / toSeconds(meanServiceTime);
}

void Simulation::computeAvailableSlotSeconds()
{
    const double slots = fleet_.backends * fleet_.slots;
    const double lostSlots
        = scenario_.losesDomain ? (fleet_.backends + fleet_.domains - 1) / fleet_.domains * fleet_.slots : 0;
    const double floodLength = toSeconds(floodEnd - floodStart);
    measurement_.availableSlotSeconds = { slots * toSeconds(floodStart),
        slots * floodLength - lostSlots * (floodLength - toSeconds(domainLossDelay)),
        (slots - lostSlots) * toSeconds(simulationEnd - floodEnd) };
}

} // namespace FloodBench
