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

enum class Truth {
    Running,
    Paused,
    Gone,
};

// What is true of each process and each domain.
struct World {
    std::map<std::string, Truth> members;
    std::set<int> cut;
};

std::string nameOf(int index)
{
    return "d" + std::to_string(index / membersPerDomain) + "-m" + std::to_string(index % membersPerDomain);
}

std::string domainOf(int index)
{
    return "d" + std::to_string(index / membersPerDomain);
}

World initialWorld()
{
    World world;
    for (int i = 0; i < domainCount * membersPerDomain; ++i)
        world.members[nameOf(i)] = Truth::Running;
    return world;
}

enum class Act {
    Kill,
    Start,
    Leave,
    Pause,
    Resume,
    Cut,
    Join,
    Advance,
};

struct Step : rc::state::Command<World, Testing::SimulatedMembers> {
    Act act = static_cast<Act>(*rc::gen::inRange(0, 8));
    int index = *rc::gen::inRange(0, domainCount* membersPerDomain);
    int seconds = *rc::gen::inRange(1, 12);

    void checkPreconditions(const World& world) const override
    {
        const Truth truth = world.members.at(nameOf(index));
        if (act == Act::Kill || act == Act::Leave || act == Act::Pause)
            RC_PRE(truth == Truth::Running);
        if (act == Act::Start)
            RC_PRE(truth == Truth::Gone);
        if (act == Act::Resume)
            RC_PRE(truth == Truth::Paused);
    }

    void apply(World& world) const override
    {
        Truth& truth = world.members[nameOf(index)];
        if (act == Act::Kill || act == Act::Leave)
            truth = Truth::Gone;
        if (act == Act::Start || act == Act::Resume)
            truth = Truth::Running;
        if (act == Act::Pause)
            truth = Truth::Paused;
        if (act == Act::Cut)
            world.cut.insert(index / membersPerDomain);
        if (act == Act::Join)
            world.cut.erase(index / membersPerDomain);
    }

    void run(const World&, Testing::SimulatedMembers& simulation) const override
    {
        const std::string name = nameOf(index);
        if (act == Act::Kill)
            simulation.kill(name);
        if (act == Act::Start)
            simulation.start(name, domainOf(index));
        if (act == Act::Leave)
            simulation.leave(name);
        if (act == Act::Pause)
            simulation.pause(name);
        if (act == Act::Resume)
            simulation.resume(name);
        if (act == Act::Cut || act == Act::Join)
            simulation.setCut(domainOf(index), act == Act::Cut);
        simulation.advance(act == Act::Advance ? std::chrono::seconds(seconds) : 300ms);
    }

    void show(std::ostream& os) const override
    {
        os << "Step(" << static_cast<int>(act) << ", " << nameOf(index) << ", " << seconds << ")";
    }
};

// For each viewer: incarnations never go down, and an incarnation that was out never comes back.
void checkEvents(const Testing::SimulatedMembers& simulation)
{
    for (const auto& [viewer, node] : simulation.nodes) {
        std::map<std::string, std::uint64_t> highest;
        std::map<std::string, std::uint64_t> out;
        for (const Membership::MemberEvent& event : node.events) {
            const std::uint64_t incarnation = event.member.incarnation();
            std::uint64_t& known = highest[event.member.name()];
            RC_ASSERT(incarnation >= known);
            known = incarnation;
            if (event.change == MemberChange::Died || event.change == MemberChange::Left) {
                RC_ASSERT(incarnation > out[event.member.name()]);
                out[event.member.name()] = incarnation;
            }
            if (event.change == MemberChange::Joined || event.change == MemberChange::Reachable)
                RC_ASSERT(incarnation > out[event.member.name()]);
        }
    }
}

// After a quiet time each running process sees its own domain as it is, and the others as far as it can.
void checkViews(const World& world, const Testing::SimulatedMembers& simulation)
{
    for (int i = 0; i < domainCount * membersPerDomain; ++i) {
        if (world.members.at(nameOf(i)) != Truth::Running)
            continue;
        std::set<std::string> expected;
        for (int j = 0; j < domainCount * membersPerDomain; ++j) {
            const int own = i / membersPerDomain;
            const int other = j / membersPerDomain;
            const bool connected = own == other || (!world.cut.contains(own) && !world.cut.contains(other));
            if (connected && world.members.at(nameOf(j)) == Truth::Running)
                expected.insert(nameOf(j));
        }
        RC_ASSERT(simulation.namesIn(nameOf(i), Schema::MEMBER_ALIVE) == expected);
    }
}

} // namespace

TEST_CASE("After any run of faults each process sees the members that it can reach, and only them")
{
    CHECK(rc::check([] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        Testing::SimulatedMembers simulation({}, {}, seed);
        const World initial = initialWorld();
        for (int i = 0; i < domainCount * membersPerDomain; ++i)
            simulation.start(nameOf(i), domainOf(i));
        simulation.advance(settleTime);
        const auto steps = *rc::state::gen::commands(initial, rc::state::gen::execOneOfWithArgs<Step>());
        rc::state::runAll(steps, initial, simulation);
        World world = initial;
        for (const auto& step : steps)
            step->apply(world);
        simulation.advance(settleTime);
        checkViews(world, simulation);
        checkEvents(simulation);
    }));
}
