#include "simulatedmembers.h"

#include <propertyparameters.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace {

using namespace std::chrono_literals;
using Membership::MemberChange;

const bool parametersSet = Testing::setPropertyParameters("seed=608 max_success=60 max_size=30");

constexpr int domainCount = 3;
constexpr int membersPerDomain = 3;
constexpr Utils::Duration settleTime = 25s;

enum class ProcessState {
    Running,
    Paused,
    Stopped,
};

// Expected state of each process and connection state of each domain.
struct ProcessModel {
    std::map<std::string, ProcessState> processes;
    std::set<int> disconnectedDomains;
};

std::string nameOf(int index)
{
    return "d" + std::to_string(index / membersPerDomain) + "-m" + std::to_string(index % membersPerDomain);
}

std::string domainOf(int index)
{
    return "d" + std::to_string(index / membersPerDomain);
}

ProcessModel initialModel()
{
    ProcessModel model;
    for (int i = 0; i < domainCount * membersPerDomain; ++i)
        model.processes[nameOf(i)] = ProcessState::Running;
    return model;
}

enum class Action {
    Kill,
    Start,
    Leave,
    Pause,
    Resume,
    Disconnect,
    Reconnect,
    Advance,
};

struct Step : rc::state::Command<ProcessModel, Testing::SimulatedMembers> {
    Action action = static_cast<Action>(*rc::gen::inRange(0, 8));
    int index = *rc::gen::inRange(0, domainCount* membersPerDomain);
    int seconds = *rc::gen::inRange(1, 12);

    void checkPreconditions(const ProcessModel& model) const override
    {
        const ProcessState state = model.processes.at(nameOf(index));
        if (action == Action::Kill || action == Action::Leave || action == Action::Pause)
            RC_PRE(state == ProcessState::Running);
        if (action == Action::Start)
            RC_PRE(state == ProcessState::Stopped);
        if (action == Action::Resume)
            RC_PRE(state == ProcessState::Paused);
    }

    void apply(ProcessModel& model) const override
    {
        ProcessState& state = model.processes[nameOf(index)];
        if (action == Action::Kill || action == Action::Leave)
            state = ProcessState::Stopped;
        if (action == Action::Start || action == Action::Resume)
            state = ProcessState::Running;
        if (action == Action::Pause)
            state = ProcessState::Paused;
        if (action == Action::Disconnect)
            model.disconnectedDomains.insert(index / membersPerDomain);
        if (action == Action::Reconnect)
            model.disconnectedDomains.erase(index / membersPerDomain);
    }

    void run(const ProcessModel&, Testing::SimulatedMembers& simulation) const override
    {
        const std::string name = nameOf(index);
        if (action == Action::Kill)
            simulation.kill(name);
        if (action == Action::Start)
            simulation.start(name, domainOf(index));
        if (action == Action::Leave)
            simulation.leave(name);
        if (action == Action::Pause)
            simulation.pause(name);
        if (action == Action::Resume)
            simulation.resume(name);
        if (action == Action::Disconnect || action == Action::Reconnect)
            simulation.setDisconnected(domainOf(index), action == Action::Disconnect);
        simulation.advance(action == Action::Advance ? std::chrono::seconds(seconds) : 300ms);
    }

    void show(std::ostream& os) const override
    {
        os << "Step(" << static_cast<int>(action) << ", " << nameOf(index) << ", " << seconds << ")";
    }
};

// In each process's events, incarnations never decrease, and one that died or left never returns.
void checkEvents(const Testing::SimulatedMembers& simulation)
{
    for (const auto& [viewer, node] : simulation.nodes) {
        std::map<std::string, std::uint64_t> highestSeen;
        std::map<std::string, std::uint64_t> lastInactive;
        for (const Membership::MemberEvent& event : node.events) {
            const std::uint64_t incarnation = event.member.incarnation();
            std::uint64_t& known = highestSeen[event.member.name()];
            RC_ASSERT(incarnation >= known);
            known = incarnation;
            if (event.change == MemberChange::Died || event.change == MemberChange::Left) {
                RC_ASSERT(incarnation > lastInactive[event.member.name()]);
                lastInactive[event.member.name()] = incarnation;
            }
            if (event.change == MemberChange::Joined || event.change == MemberChange::Reachable)
                RC_ASSERT(incarnation > lastInactive[event.member.name()]);
        }
    }
}

// After a time without faults each running process sees the true state of its own domain and of reachable
// ones.
void checkViews(const ProcessModel& model, const Testing::SimulatedMembers& simulation)
{
    for (int i = 0; i < domainCount * membersPerDomain; ++i) {
        if (model.processes.at(nameOf(i)) != ProcessState::Running)
            continue;
        std::set<std::string> expected;
        for (int j = 0; j < domainCount * membersPerDomain; ++j) {
            const int viewerDomain = i / membersPerDomain;
            const int memberDomain = j / membersPerDomain;
            const bool connected = viewerDomain == memberDomain
                || (!model.disconnectedDomains.contains(viewerDomain)
                    && !model.disconnectedDomains.contains(memberDomain));
            if (connected && model.processes.at(nameOf(j)) == ProcessState::Running)
                expected.insert(nameOf(j));
        }
        RC_ASSERT(simulation.membersInState(nameOf(i), Schema::MEMBER_ALIVE) == expected);
    }
}

} // namespace

TEST_CASE("After any sequence of faults each process sees exactly the members that it can reach")
{
    CHECK(rc::check([] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        Testing::SimulatedMembers simulation({}, {}, seed);
        const ProcessModel initialState = initialModel();
        for (int i = 0; i < domainCount * membersPerDomain; ++i)
            simulation.start(nameOf(i), domainOf(i));
        simulation.advance(settleTime);
        const auto steps = *rc::state::gen::commands(initialState, rc::state::gen::execOneOfWithArgs<Step>());
        rc::state::runAll(steps, initialState, simulation);
        ProcessModel model = initialState;
        for (const auto& step : steps)
            step->apply(model);
        simulation.advance(settleTime);
        checkViews(model, simulation);
        checkEvents(simulation);
    }));
}
