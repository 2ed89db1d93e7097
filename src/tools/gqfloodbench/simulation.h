#pragma once

#include "entrypolicy.h"
#include "measurement.h"
#include "scenario.h"

#include <requests/requesttypes.h>

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace FloodBench {

/*! Creates the policy of the entry VM with \a index among the \a members of a domain. */
using PolicyFactory = std::function<std::unique_ptr<EntryPolicy>(const std::string& domain,
    std::uint32_t index, std::uint32_t members, std::span<const Requests::Backend> backends)>;

/*!
    Discrete-event simulation of entry VMs that send requests to backend servers.

    A backend server runs as many requests as it has slots, queues more up to its connections, and continues
    to run abandoned requests. Callers choose a random entry VM of a live domain.
*/
class Simulation {
public:
    /*! \param makePolicy creates the policy of each entry VM. */
    Simulation(const FleetSize& fleet, const Scenario& scenario, const PolicyFactory& makePolicy);

    /*! \return the results of the whole run. */
    Measurement run();

private:
    enum class EventKind { Arrival, BackendArrival, ServiceEnd, AttemptEnd, Wakeup, DomainLoss };

    struct Event {
        Utils::TimePoint when {};
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Wakeup;
        std::size_t index = 0; // Index of an arrival stream, a backend server or an entry VM.
        std::uint64_t id = 0; // Id of an exchange.
        bool operator>(const Event& other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    struct Request {
        std::size_t classIndex = 0;
        bool isBase = true;
        Utils::TimePoint submittedAt {};
        Utils::TimePoint deadline {};
        std::uint64_t openExchange = 0; // Id of the open exchange.
        bool wasSent = false;
        bool hasFailed = false; // The last answer was a failure.
        double slotSeconds = 0;
    };

    struct Exchange {
        std::size_t entryVm = 0;
        std::size_t backend = 0;
        Requests::RequestId request = 0;
        Requests::AttemptId attempt = 0;
        AttemptResult result = AttemptResult::Completed;
        double slotSeconds = 0;
        bool isClosed = false;
    };

    struct EntryVm {
        std::uint32_t domain = 0;
        std::unique_ptr<EntryPolicy> policy;
        Utils::TimePoint wakeupAt = Utils::TimePoint::max();
    };

    struct BackendServer {
        std::uint32_t domain = 0;
        std::uint32_t running = 0;
        std::deque<std::uint64_t> waiting;
    };

    void schedule(Utils::TimePoint when, EventKind kind, std::size_t index, std::uint64_t id = 0);
    void handle(const Event& event);
    void arriveAtEntryVm(std::size_t stream);
    void scheduleArrival(std::size_t stream);
    void arriveAtBackend(std::uint64_t id);
    void startService(std::uint64_t id);
    void endService(std::uint64_t id);
    void endAttempt(std::uint64_t id);
    void loseDomain();
    void executeActions(std::size_t entryVm);
    void handleAction(std::size_t entryVm, const Requests::Dispatch& dispatch);
    void handleAction(std::size_t entryVm, const Requests::Finish& finish);
    void handleAction(std::size_t entryVm, const Requests::Reject& reject);
    std::size_t chooseEntryVm();
    Utils::Duration serviceTime(std::size_t backend);
    ClassResult& resultFor(Utils::TimePoint when, std::size_t classIndex);
    static std::size_t phaseAt(Utils::TimePoint when);
    double capacityPerSecond() const;
    void computeAvailableSlotSeconds();

    FleetSize fleet_;
    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<EntryVm> entryVms_;
    std::vector<BackendServer> backends_;
    std::unordered_map<std::string, std::size_t> backendIndex_;
    std::unordered_map<Requests::RequestId, Request> requests_;
    std::unordered_map<std::uint64_t, Exchange> exchanges_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastExchange_ = 0;
    Requests::RequestId lastRequest_ = 0;
    bool isDomainLost_ = false;
    Utils::TimePoint now_ {};
    Measurement measurement_;
};

} // namespace FloodBench
