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
constexpr Utils::Duration longestJob = 2s;
const CreditParameters soundParameters {
    .lifetime = 1s, .longestAttempt = longestJob, .rebalanceInterval = 2s
};

using Operations = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

struct Job {
    std::uint64_t process = 0;
    std::size_t backend;
    Utils::TimePoint end;
};

struct Process {
    std::string name;
    std::uint64_t incarnation = 0;
    double clockRate = 1;
    CreditHolder holder;
    Utils::TimePoint pausedUntil {};
    bool tableCut = false;
    bool peersCut = false;
    std::uint32_t weight = 1;
    // What was asked for one step ago.
    std::optional<std::pair<Schema::CreditDivisions, std::uint64_t>> read;
    std::vector<Schema::CreditReport> reports;
    Utils::TimePoint asked {};
    std::map<std::string, std::pair<std::uint64_t, Utils::TimePoint>> heard;
};

// Entry VMs of one domain with clocks of different rates, a table row and two backend servers.
class World {
public:
    explicit World(const CreditParameters& parameters)
        : parameters_(parameters)
    {
        for (std::size_t index = 0; index < processCount; ++index)
            processes_.push_back(make(index));
    }

    void apply(std::uint8_t kind, std::uint8_t value)
    {
        Process& process = processes_[value % processCount];
        switch (kind % 8) {
        case 0:
            process.pausedUntil = now_ + 40ms * value;
            break;
        case 1:
            processes_[value % processCount] = make(value % processCount);
            break;
        case 2:
            process.tableCut = !process.tableCut;
            break;
        case 3:
            process.peersCut = !process.peersCut;
            break;
        case 4:
            process.weight = 1U + value % 7U;
            break;
        case 5:
            tableDown_ = !tableDown_;
            break;
        default:
            advance(value * 20ms);
        }
    }

    void advance(Utils::Duration length)
    {
        for (const Utils::TimePoint end = now_ + length; now_ < end; now_ += step) {
            std::erase_if(jobs_, [this](const Job& job) { return job.end <= now_; });
            for (Process& process : processes_) {
                if (process.pausedUntil <= now_)
                    run(process);
            }
            for (std::size_t backend = 0; backend < 2; ++backend)
                greatestUse = std::max(greatestUse, running(backend, 0));
        }
    }

    void heal()
    {
        tableDown_ = false;
        for (Process& process : processes_) {
            process.tableCut = false;
            process.peersCut = false;
            process.pausedUntil = now_;
        }
    }

    std::uint32_t given()
    {
        std::uint32_t sum = 0;
        for (Process& process : processes_)
            sum += process.holder.share("b0", slotCount, local(process));
        return sum;
    }

    std::uint32_t greatestUse = 0;

private:
    Process make(std::size_t index)
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
            .heard = {} };
    }

    Utils::TimePoint local(const Process& process) const
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

    void run(Process& process)
    {
        const Utils::TimePoint now = local(process);
        if (process.read)
            process.holder.divisionsRead(process.read->first, process.asked, now);
        for (const Schema::CreditReport& report : process.reports) {
            process.holder.peerReported(report, process.asked, now);
            process.heard[report.name()] = { report.incarnation(), now };
        }
        if (process.read && !process.tableCut && !tableDown_)
            write(process, now);
        use(process, now);
        ask(process, now);
    }

    void write(Process& process, Utils::TimePoint now)
    {
        std::vector<Schema::CreditMember> members;
        for (const Process& other : processes_) {
            const auto heard = process.heard.find(other.name);
            const bool self = &other == &process;
            if (!self && (heard == process.heard.end() || heard->second.second + 1s < now))
                continue;
            Schema::CreditMember& member = members.emplace_back();
            member.set_name(other.name);
            member.set_incarnation(self ? process.incarnation : heard->second.first);
            member.set_weight(other.weight);
        }
        const auto proposal = process.holder.propose(members, now);
        if (!proposal || process.read->second != version_)
            return;
        row_ = *proposal;
        ++version_;
    }

    void use(Process& process, Utils::TimePoint now)
    {
        bool settled = true;
        for (std::size_t backend = 0; backend < 2; ++backend) {
            const auto share = process.holder.share("b" + std::to_string(backend), slotCount, now);
            for (auto used = running(backend, process.incarnation); used < share; ++used) {
                const auto length = std::uniform_int_distribution<int>(1, 20)(random_);
                jobs_.push_back({ process.incarnation, backend, now_ + length * longestJob / 20 });
            }
            settled = settled && running(backend, process.incarnation) <= share;
        }
        process.holder.setSettled(settled);
    }

    void ask(Process& process, Utils::TimePoint now)
    {
        process.asked = now;
        process.read.reset();
        process.reports.clear();
        if (!process.tableCut && !tableDown_)
            process.read = { row_, version_ };
        for (const Process& other : processes_) {
            if (&other == &process || process.peersCut || other.peersCut || other.pausedUntil > now_)
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
    bool tableDown_ = false;
    std::uint64_t incarnations_ = 0;
    std::mt19937 random_ { 7 };
};

std::uint32_t greatestUse(const CreditParameters& parameters, const Operations& operations)
{
    World world(parameters);
    for (const auto& [kind, value] : operations)
        world.apply(kind, value);
    return world.greatestUse;
}

bool anyOvercommitment(const CreditParameters& parameters)
{
    std::mt19937 random(11);
    for (int run = 0; run < runCount; ++run) {
        Operations operations(120);
        for (auto& [kind, value] : operations) {
            kind = static_cast<std::uint8_t>(random());
            value = static_cast<std::uint8_t>(random());
        }
        if (greatestUse(parameters, operations) > slotCount)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("Shares add up to the slots, follow the weights and leave nothing over")
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

TEST_CASE("The slots are never exceeded through pauses, kills, cuts and outages")
{
    const bool passed = rc::check([](const Operations& operations) {
        RC_ASSERT(greatestUse(soundParameters, operations) <= slotCount);
    });
    CHECK(passed);
    CHECK_FALSE(anyOvercommitment(soundParameters));
}

TEST_CASE("The check sees variants that wait too little")
{
    CreditParameters ignoresWork = soundParameters;
    ignoresWork.longestAttempt = {};
    CHECK(anyOvercommitment(ignoresWork));
    CreditParameters ignoresLapse = soundParameters;
    ignoresLapse.clockMargin = -1;
    CHECK(anyOvercommitment(ignoresLapse));
    CreditParameters waitsHalf = soundParameters;
    waitsHalf.clockMargin = -0.5;
    CHECK(anyOvercommitment(waitsHalf));
}

TEST_CASE(
    "All slots are given out again after faults, and in an outage of the table the division stays in force")
{
    World world(soundParameters);
    world.advance(10s);
    CHECK(world.given() == slotCount);
    world.apply(5, 0);
    world.advance(60s);
    CHECK(world.given() == slotCount);
    world.apply(5, 0);
    world.apply(1, 0);
    world.apply(0, 250);
    world.advance(20s);
    CHECK(world.given() == slotCount);
    world.heal();
    world.advance(10s);
    CHECK(world.given() == slotCount);
    CHECK(world.greatestUse == slotCount);
}
