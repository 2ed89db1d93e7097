#include "nodelimits.h"

#include "http/bytebudget.h"

#include <settings.pb.h>

#include <algorithm>
#include <limits>

namespace FleetNode {

namespace {

constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();
// A monitoring system and the platform's check need a few connections on the smallest VM.
constexpr std::size_t minConnections = 8;

std::size_t bytesOf(std::uint32_t memoryMb, std::uint32_t percent)
{
    return memoryMb == 0 ? unbounded : (std::size_t { memoryMb } << 20U) / 100 * percent;
}

std::size_t connectionsOf(std::uint32_t descriptors, std::uint32_t percent)
{
    if (descriptors == 0)
        return unbounded;
    return std::max(minConnections, std::size_t { descriptors } * percent / 100);
}

} // namespace

NodeLimits parseNodeLimits(const Schema::LimitSettings& settings)
{
    NodeLimits limits;
    limits.requestBytes = bytesOf(settings.memory_mb(), settings.request_memory_percent());
    limits.responseBytes = bytesOf(settings.memory_mb(), settings.response_memory_percent());
    limits.callerConnections = connectionsOf(settings.descriptors(), settings.caller_descriptor_percent());
    limits.peerConnections = connectionsOf(settings.descriptors(), settings.peer_descriptor_percent());
    limits.monitoringConnections
        = connectionsOf(settings.descriptors(), settings.monitoring_descriptor_percent());
    limits.bodyBytes = std::uint64_t { settings.request_kb() } << 10U;
    limits.bufferBytes = std::size_t { settings.buffer_kb() } << 10U;
    limits.requestTime = std::chrono::seconds(settings.request_seconds());
    return limits;
}

std::shared_ptr<Http::ByteBudget> makeResponseBudget(const Schema::LimitSettings& settings)
{
    const std::size_t bytes = parseNodeLimits(settings).responseBytes;
    return bytes == unbounded ? nullptr : std::make_shared<Http::ByteBudget>(bytes);
}

} // namespace FleetNode
