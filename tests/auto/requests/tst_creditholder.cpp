#include "propertyparameters.h"

#include <requests/creditholder.h>
#include <requests/slotdivision.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <random>

using namespace std::chrono_literals;
using namespace Requests;

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=43 max_success=150 max_size=150");
constexpr int runCount = 1500;
constexpr std::size_t processCount = 3;
constexpr std::uint32_t slotCount = 8;
constexpr Utils::Duration step = 100ms;
constexpr Utils::Duration maxJobDuration = 2s;
const CreditParameters safeParameters {
    .lifetime = 1s, .maxAttemptDuration = maxJobDuration, .rebalanceInterval = 2s
};

using Operations = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

struct Job {
    std::uint64_t process = 0;
    std::size_t backend;
    Utils::TimePoint endsAt;
};

struct Process {
    std::string name;
    std::uint64_t incarnation = 0;
    double clockRate = 1;
    CreditHolder holder;
    Utils::TimePoint pausedUntil {};
    bool isTableCut = false;
    bool arePeersCut = false;
    std::uint32_t weight = 1;
    // Answers to the queries that were sent at queriedAt, in the previous step.
    std::optional<std::pair<Schema::CreditDivisions, std::uint64_t>> read;
    std::vector<Schema::CreditReport> reports;
    Utils::TimePoint queriedAt {};
    std::map<std::string, std::pair<std::uint64_t, Utils::TimePoint>> lastContacts;
};

// Simulates entry VMs of one domain with different clock rates, a table row and two backend servers.
class SimulatedDomain {
public:
    explicit SimulatedDomain(const CreditParameters& parameters)
        : parameters_(parameters)
    {
        for (std::size_t index = 0; index < processCount; ++index)
            processes_.push_back(makeProcess(index));
    }

    void apply(std::uint8_t kind, std::uint8_t value)
    {
        Process& process = processes_[value % processCount];
        switch (kind % 8) {
        case 0:
            process.pausedUntil = now_ + 40ms * value;
            break;
        case 1:
            processes_[value % processCount] = makeProcess(value % processCount);
            break;
        case 2:
            process.isTableCut = !process.isTableCut;
            break;
        case 3:
            process.arePeersCut = !process.arePeersCut;
            break;
        case 4:
            process.weight = 1U + value % 7U;
            break;
        case 5:
            isTableDown_ = !isTableDown_;
            break;
        default:
            advance(value * 20ms);
        }
    }

    void advance(Utils::Duration length)
    {
        for (const Utils::TimePoint end = now_ + length; now_ < end; now_ += step) {
            std::erase_if(jobs_, [this](const Job& job) { return job.endsAt <= now_; });
            for (Process& process : processes_) {
                if (process.pausedUntil <= now_)
                    runProcess(process);
            }
            for (std::size_t backend = 0; backend < 2; ++backend)
                maxSlotsInUse = std::max(maxSlotsInUse, running(backend, 0));
        }
    }

    void clearFaults()
    {
        isTableDown_ = false;
        for (Process& process : processes_) {
            process.isTableCut = false;
            process.arePeersCut = false;
            process.pausedUntil = now_;
        }
    }

    std::uint32_t grantedSlots()
    {
        std::uint32_t sum = 0;
        for (Process& process : processes_)
            sum += process.holder.share("b0", slotCount, localTime(process));
        return sum;
    }

    std::uint32_t maxSlotsInUse = 0;

private:
    Process makeProcess(std::size_t index)
    {
        const std::string name = "vm" + std::to_string(index);
        const std::uint64_t incarnation = ++incarnations_;
        static constexpr std::array rates { 0.97, 1.0, 1.03 };
        return { .name = name,
            .incarnation = incarnation,
            .clockRate = rates[index],
            .holder = CreditHolder(name, incarnation, parameters_),
            .read = {},
            .reports = {},
            .lastContacts = {} };
    }

    Utils::TimePoint localTime(const Process& process) const
    {
        return Utils::TimePoint {}
        + std::chrono::duration_cast<Utils::Duration>(now_.time_since_epoch() * process.clockRate);
    }

    std::uint32_t running(std::size_t backend, std::uint64_t incarnation) const
    {
        std::uint32_t count = 0;
        for (const Job& job : jobs_)
            count += job.backend == backend && (incarnation == 0 || job.process == incarnation);
        return count;
    }

    void runProcess(Process& process)
    {
        const Utils::TimePoint now = localTime(process);
        if (process.read)
            process.holder.onDivisionsRead(process.read->first, process.queriedAt, now);
        for (const Schema::CreditReport& report : process.reports) {
            process.holder.onPeerReport(report, process.queriedAt, now);
            process.lastContacts[report.name()] = { report.incarnation(), now };
        }
        if (process.read && !process.isTableCut && !isTableDown_)
            writeProposal(process, now);
        startJobs(process, now);
        sendQueries(process, now);
    }

    void writeProposal(Process& process, Utils::TimePoint now)
    {
        std::vector<Schema::CreditMember> members;
        for (const Process& other : processes_) {
            const auto contact = process.lastContacts.find(other.name);
            const bool isSelf = &other == &process;
            if (!isSelf && (contact == process.lastContacts.end() || contact->second.second + 1s < now))
                continue;
            Schema::CreditMember& member = members.emplace_back();
            member.set_name(other.name);
            member.set_incarnation(isSelf ? process.incarnation : contact->second.first);
            member.set_weight(other.weight);
        }
        const auto proposal = process.holder.proposeDivisions(members, now);
        if (!proposal || process.read->second != version_)
            return;
        row_ = *proposal;
        ++version_;
    }

    void startJobs(Process& process, Utils::TimePoint now)
    {
        bool isSettled = true;
        for (std::size_t backend = 0; backend < 2; ++backend) {
            const auto share = process.holder.share("b" + std::to_string(backend), slotCount, now);
            for (auto used = running(backend, process.incarnation); used < share; ++used) {
                const auto length = std::uniform_int_distribution<int>(1, 20)(random_);
                jobs_.push_back({ process.incarnation, backend, now_ + length * maxJobDuration / 20 });
            }
            isSettled = isSettled && running(backend, process.incarnation) <= share;
        }
        process.holder.setWithinShares(isSettled);
    }

    void sendQueries(Process& process, Utils::TimePoint now)
    {
        process.queriedAt = now;
        process.read.reset();
        process.reports.clear();
        if (!process.isTableCut && !isTableDown_)
            process.read = { row_, version_ };
        for (const Process& other : processes_) {
            if (&other == &process || process.arePeersCut || other.arePeersCut || other.pausedUntil > now_)
                continue;
            Schema::CreditReport& report = process.reports.emplace_back();
            report.set_name(other.name);
            report.set_incarnation(other.incarnation);
            report.set_adopted_epoch(other.holder.adoptedEpoch());
            report.set_settled_epoch(other.holder.settledEpoch());
        }
    }

    CreditParameters parameters_;
    Utils::TimePoint now_ {};
    std::vector<Process> processes_;
    std::vector<Job> jobs_;
    Schema::CreditDivisions row_;
    std::uint64_t version_ = 0;
    bool isTableDown_ = false;
    std::uint64_t incarnations_ = 0;
    std::mt19937 random_ { 7 };
};

std::uint32_t maxSlotsInUse(const CreditParameters& parameters, const Operations& operations)
{
    SimulatedDomain simulation(parameters);
    for (const auto& [kind, value] : operations)
        simulation.apply(kind, value);
    return simulation.maxSlotsInUse;
}

bool findsOvercommitment(const CreditParameters& parameters)
{
    std::mt19937 random(11);
    for (int run = 0; run < runCount; ++run) {
        Operations operations(120);
        for (auto& [kind, value] : operations) {
            kind = static_cast<std::uint8_t>(random());
            value = static_cast<std::uint8_t>(random());
        }
        if (maxSlotsInUse(parameters, operations) > slotCount)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("Shares add up to the slots, and non-members get none")
{
    rc::check([] {
        Schema::CreditDivision division;
        const auto count = *rc::gen::inRange(1, 12);
        for (int index = 0; index < count; ++index) {
            auto* member = division.add_members();
            member->set_name("vm" + std::to_string(index));
            member->set_weight(*rc::gen::inRange(0U, 9U));
        }
        const auto slots = *rc::gen::inRange(0U, 70U);
        std::uint32_t sum = 0;
        for (const auto& member : division.members())
            sum += slotShare(division, member.name(), 0, "b", slots);
        RC_ASSERT(sum == slots);
        RC_ASSERT(slotShare(division, "stranger", 0, "b", slots) == 0U);
    });
}

TEST_CASE("The slots are never exceeded despite pauses, kills, partitions and outages")
{
    const bool passed = rc::check([](const Operations& operations) {
        RC_ASSERT(maxSlotsInUse(safeParameters, operations) <= slotCount);
    });
    CHECK(passed);
    CHECK_FALSE(findsOvercommitment(safeParameters));
}

TEST_CASE("The check detects variants that do not wait long enough")
{
    CreditParameters ignoresWork = safeParameters;
    ignoresWork.maxAttemptDuration = {};
    CHECK(findsOvercommitment(ignoresWork));
    CreditParameters ignoresExpiry = safeParameters;
    ignoresExpiry.clockRateMargin = -1;
    CHECK(findsOvercommitment(ignoresExpiry));
    CreditParameters waitsHalf = safeParameters;
    waitsHalf.clockRateMargin = -0.5;
    CHECK(findsOvercommitment(waitsHalf));
}

TEST_CASE("All slots are granted again after faults, and the division stays in force during a table outage")
{
    SimulatedDomain simulation(safeParameters);
    simulation.advance(10s);
    CHECK(simulation.grantedSlots() == slotCount);
    simulation.apply(5, 0);
    simulation.advance(60s);
    CHECK(simulation.grantedSlots() == slotCount);
    simulation.apply(5, 0);
    simulation.apply(1, 0);
    simulation.apply(0, 250);
    simulation.advance(20s);
    CHECK(simulation.grantedSlots() == slotCount);
    simulation.clearFaults();
    simulation.advance(10s);
    CHECK(simulation.grantedSlots() == slotCount);
    CHECK(simulation.maxSlotsInUse == slotCount);
}
