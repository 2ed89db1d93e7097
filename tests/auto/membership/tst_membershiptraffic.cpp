#include "simulatedmembers.h"

#include <catch2/catch.hpp>

#include <cstdio>

namespace {

constexpr int measuredSeconds = 30;
// Membership may use this much of the 10 KB/s that a node may spend on control traffic.
constexpr double bytesPerSecondLimit = 5000;

struct Traffic {
    double bytesPerSecond = 0; //!< Sent by one process, on average.
    double messagesPerSecond = 0;
};

Traffic measure(int domains, int members)
{
    Testing::SimulatedMembers simulation({}, {}, 31);
    for (int domain = 0; domain < domains; ++domain) {
        for (int member = 0; member < members; ++member)
            simulation.start("entry-" + std::to_string(domain) + "-" + std::to_string(member),
                "d" + std::to_string(domain));
    }
    simulation.advance(std::chrono::seconds(measuredSeconds));
    for (auto& [name, node] : simulation.nodes)
        node.sentBytes = node.sentMessages = 0;
    simulation.advance(std::chrono::seconds(measuredSeconds));
    Traffic traffic;
    for (const auto& [name, node] : simulation.nodes) {
        traffic.bytesPerSecond += static_cast<double>(node.sentBytes) / measuredSeconds / (domains * members);
        traffic.messagesPerSecond
            += static_cast<double>(node.sentMessages) / measuredSeconds / (domains * members);
    }
    std::printf("%2d domains of %2d: %6.0f bytes/s, %5.1f messages/s sent by each process\n", domains,
        members, traffic.bytesPerSecond, traffic.messagesPerSecond);
    return traffic;
}

} // namespace

TEST_CASE("The traffic of a process grows with the number of domains only by their summaries")
{
    const Traffic few = measure(3, 8);
    const Traffic many = measure(22, 8);
    CHECK(many.messagesPerSecond < few.messagesPerSecond * 1.1);
    CHECK(many.bytesPerSecond < bytesPerSecondLimit);
    measure(3, 24);
}
