#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace FloodBench {

namespace {

constexpr double serviceSpread = 0.5; // Of the logarithm of service times.
constexpr double noiseFactor = 3;
constexpr std::size_t noisyEvery = 10;
constexpr std::size_t flakyEvery = 5;
constexpr Utils::Duration noisePeriod = std::chrono::seconds(4);
constexpr Utils::Duration failureTime = std::chrono::milliseconds(1);
constexpr Utils::Duration failingCountFrom = std::chrono::seconds(5);
constexpr std::uint64_t callersPerClass = 40;

double seconds(Utils::Duration duration)
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
        entries_.push_back({ .domain = domain,
            .policy = makePolicy(std::to_string(domain), index / fleet.domains, members, byDomain[domain]) });
    }
    for (auto& classes : measurement_.classes)
        classes.resize(scenario.classes.size());
    measurement_.urgentWindows.resize(static_cast<std::size_t>(simulationEnd / std::chrono::seconds(1)));
    countAvailable();
}

Measurement Simulation::run()
{
    // Two streams a class: base load and flood.
    for (std::size_t stream = 0; stream < 2 * scenario_.classes.size(); ++stream)
        scheduleArrival(stream);
    if (scenario_.domainLost)
        schedule(at(floodStart + lossDelay), EventKind::DomainLoss, 0);
    while (!events_.empty() && events_.top().when < at(simulationEnd)) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.when;
        handle(event);
    }
    return std::move(measurement_);
}

void Simulation::schedule(Utils::TimePoint when, EventKind kind, std::size_t index, std::uint64_t id)
{
    events_.push({ when, ++lastOrder_, kind, index, id });
}

void Simulation::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        arrive(event.index);
        return;
    case EventKind::Reach:
        reach(event.id);
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
    case EventKind::Wake:
        EntryVm& entry = entries_[event.index];
        if (entry.wake != event.when || (lost_ && entry.domain == 0))
            return;
        entry.wake = Utils::TimePoint::max();
        entry.policy->tick(now_);
        carryOut(event.index);
        return;
    }
}

void Simulation::scheduleArrival(std::size_t stream)
{
    const ClassLoad& load = scenario_.classes[stream / 2];
    const bool flood = stream % 2 == 1;
    const double rate = capacityPerSecond() * (flood ? load.floodLoad : load.baseLoad);
    if (rate <= 0)
        return;
    const Utils::TimePoint from = flood ? std::max(now_, at(floodStart)) : now_;
    const auto when = from + fromSeconds(std::exponential_distribution<double>(rate)(random_));
    if (!flood || when < at(floodEnd))
        schedule(when, EventKind::Arrival, stream);
}

void Simulation::arrive(std::size_t stream)
{
    const std::size_t classIndex = stream / 2;
    const bool base = stream % 2 == 0;
    const ClassLoad& load = scenario_.classes[classIndex];
    const Requests::RequestId id = ++lastRequest_;
    requests_[id]
        = { .classIndex = classIndex, .base = base, .submitted = now_, .deadline = now_ + load.deadline };
    ClassResult& target = result(now_, classIndex);
    ++target.offered;
    target.baseOffered += base;
    const std::string caller = (base ? "base" : "flood") + std::to_string(random_() % callersPerClass);
    const std::size_t entry = chooseEntry();
    entries_[entry].policy->submit({ .id = id,
                                       .service = "app",
                                       .priorityClass = load.name,
                                       .caller = caller,
                                       .deadline = now_ + load.deadline,
                                       .isIdempotent = true,
                                       .key = {} },
        now_);
    carryOut(entry);
    scheduleArrival(stream);
}

void Simulation::reach(std::uint64_t id)
{
    Exchange& exchange = exchanges_.at(id);
    BackendServer& backend = backends_[exchange.backend];
    const auto inUse = static_cast<std::uint32_t>(backend.running + backend.waiting.size());
    if (inUse >= fleet_.connections) {
        exchange.result = AttemptResult::Refused;
        schedule(now_ + oneWay, EventKind::AttemptEnd, 0, id);
        return;
    }
    measurement_.greatestBackendUse = std::max(measurement_.greatestBackendUse, inUse + 1);
    if (backend.running < fleet_.slots)
        startService(id);
    else
        backend.waiting.push_back(id);
}

void Simulation::startService(std::uint64_t id)
{
    Exchange& exchange = exchanges_.at(id);
    ++backends_[exchange.backend].running;
    const bool flaky = scenario_.flakyBackends && exchange.backend % flakyEvery == 1 && random_() % 2 == 0;
    const bool failing = flaky || (scenario_.failingBackend && exchange.backend == 0);
    const Utils::Duration length = failing ? failureTime : serviceTime(exchange.backend);
    exchange.result = failing ? AttemptResult::Failed : AttemptResult::Completed;
    exchange.slotSeconds = seconds(length);
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
    if (exchange.closed)
        exchanges_.erase(id);
    else
        schedule(now_ + oneWay, EventKind::AttemptEnd, 0, id);
}

void Simulation::endAttempt(std::uint64_t id)
{
    const Exchange exchange = exchanges_.at(id);
    exchanges_.erase(id);
    if (exchange.closed || (lost_ && entries_[exchange.entry].domain == 0))
        return;
    if (const auto request = requests_.find(exchange.request); request != requests_.end()) {
        request->second.exchange = 0;
        request->second.slotSeconds = exchange.slotSeconds;
        request->second.failed = exchange.result == AttemptResult::Failed;
    }
    entries_[exchange.entry].policy->attemptEnded(exchange.attempt, exchange.result, now_);
    carryOut(exchange.entry);
}

void Simulation::loseDomain()
{
    lost_ = true;
}

void Simulation::carryOut(std::size_t entry)
{
    std::vector<Requests::Action> actions;
    EntryVm& vm = entries_[entry];
    for (vm.policy->takeActions(actions); !actions.empty(); vm.policy->takeActions(actions)) {
        const std::vector<Requests::Action> batch = std::move(actions);
        actions.clear();
        for (const Requests::Action& action : batch)
            std::visit([this, entry](const auto& item) { take(entry, item); }, action);
    }
    const auto wake = vm.policy->nextWake();
    if (!wake || *wake >= vm.wake)
        return;
    vm.wake = std::max(*wake, now_);
    schedule(vm.wake, EventKind::Wake, entry);
}

void Simulation::take(std::size_t entry, const Requests::Dispatch& dispatch)
{
    Request& request = requests_.at(dispatch.request);
    const std::size_t backend = backendIndex_.at(dispatch.backend);
    const std::uint64_t id = ++lastExchange_;
    request.exchange = id;
    exchanges_[id]
        = { .entry = entry, .backend = backend, .request = dispatch.request, .attempt = dispatch.attempt };
    ++measurement_.sends[part(now_)];
    measurement_.firstSends[part(now_)] += !request.sent;
    request.sent = true;
    if (now_ > at(failingCountFrom)) {
        ++measurement_.lateSends;
        measurement_.failingSends += backend == 0;
    }
    schedule(now_ + oneWay, EventKind::Reach, backend, id);
}

void Simulation::take(std::size_t entry, const Requests::Finish& finish)
{
    const auto found = requests_.find(finish.request);
    const Request request = found->second;
    requests_.erase(found);
    if (const auto open = exchanges_.find(request.exchange); open != exchanges_.end()) {
        open->second.closed = true;
        entries_[entry].policy->attemptEnded(open->second.attempt, AttemptResult::Closed, now_);
    }
    if (finish.outcome != Requests::Outcome::Completed || request.failed || now_ > request.deadline)
        return;
    ClassResult& target = result(request.submitted, request.classIndex);
    ++target.good;
    target.baseGood += request.base;
    result(now_, request.classIndex).usefulSlotSeconds += request.slotSeconds;
    if (!request.base)
        return;
    const auto latency = static_cast<float>(seconds(now_ - request.submitted));
    target.latencies.push_back(latency);
    if (request.classIndex == 0)
        measurement_
            .urgentWindows[static_cast<std::size_t>(
                request.submitted.time_since_epoch() / std::chrono::seconds(1))]
            .push_back(latency);
}

void Simulation::take(std::size_t, const Requests::Reject& reject)
{
    const auto found = requests_.find(reject.request);
    ++result(found->second.submitted, found->second.classIndex).notRun;
    requests_.erase(found);
}

std::size_t Simulation::chooseEntry()
{
    const std::uint32_t first = lost_ ? 1 : 0;
    const std::uint32_t domain = first + static_cast<std::uint32_t>(random_() % (fleet_.domains - first));
    const std::uint32_t members = (fleet_.entryVms - domain + fleet_.domains - 1) / fleet_.domains;
    return domain + fleet_.domains * (random_() % members);
}

Utils::Duration Simulation::serviceTime(std::size_t backend)
{
    const double mean = seconds(meanService);
    std::lognormal_distribution<double> distribution(
        std::log(mean) - serviceSpread * serviceSpread / 2, serviceSpread);
    const bool wave = (now_.time_since_epoch() / noisePeriod) % 2 == 1;
    const bool noisy = scenario_.noisyBackends && backend % noisyEvery == 3 && wave;
    return fromSeconds(distribution(random_) * (noisy ? noiseFactor : 1));
}

ClassResult& Simulation::result(Utils::TimePoint when, std::size_t classIndex)
{
    return measurement_.classes[part(when)][classIndex];
}

std::size_t Simulation::part(Utils::TimePoint when)
{
    if (when < at(floodStart))
        return static_cast<std::size_t>(Part::Before);
    return static_cast<std::size_t>(when < at(floodEnd) ? Part::Flood : Part::After);
}

double Simulation::capacityPerSecond() const
{
    return fleet_.backends * fleet_.slots / seconds(meanService);
}

void Simulation::countAvailable()
{
    const double slots = fleet_.backends * fleet_.slots;
    const double lostSlots
        = scenario_.domainLost ? (fleet_.backends + fleet_.domains - 1) / fleet_.domains * fleet_.slots : 0;
    const double floodLength = seconds(floodEnd - floodStart);
    measurement_.availableSlotSeconds
        = { slots * seconds(floodStart), slots * floodLength - lostSlots * (floodLength - seconds(lossDelay)),
              (slots - lostSlots) * seconds(simulationEnd - floodEnd) };
}

} // namespace FloodBench
