#include "connectiontable.h"

#include <tuple>

namespace Http {

namespace {

// What an open connection takes besides the bytes of requests: its stack, its socket and its buffers.
constexpr std::size_t connectionOverheadBytes = 24U << 10U;
// A complete request is held as text, as a parsed document and as a message.
constexpr std::size_t servingFactor = 3;
// Callers whose connection is younger may be about to send an ordinary request.
constexpr std::chrono::milliseconds youngAge { 1000 };

std::size_t heldBytes(ConnectionPhase phase, std::size_t bytes)
{
    return connectionOverheadBytes + (phase == ConnectionPhase::Serving ? servingFactor * bytes : bytes);
}

} // namespace

std::size_t ConnectionTable::addListener(std::size_t maxConnections)
{
    listeners_.push_back({ maxConnections, 0 });
    return listeners_.size() - 1;
}

ConnectionTable::Id ConnectionTable::add(std::size_t listener, Utils::TimePoint now)
{
    const Id id = ++lastId_;
    Connection& connection = connections_[id];
    connection.listener = listener;
    connection.since = now;
    ++listeners_[listener].count;
    totalBytes_ += heldBytes(connection.phase, 0);
    return id;
}

void ConnectionTable::remove(Id id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    const Connection& connection = found->second;
    const std::size_t held = heldBytes(connection.phase, connection.bytes);
    totalBytes_ -= held;
    servingBytes_ -= connection.phase == ConnectionPhase::Serving ? held : 0;
    --listeners_[connection.listener].count;
    connections_.erase(found);
}

void ConnectionTable::setPhase(Id id, ConnectionPhase phase, Utils::TimePoint now)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    Connection& connection = found->second;
    const std::size_t before = heldBytes(connection.phase, connection.bytes);
    servingBytes_ -= connection.phase == ConnectionPhase::Serving ? before : 0;
    connection.phase = phase;
    connection.hasServed = connection.hasServed || phase == ConnectionPhase::Serving;
    connection.since = now;
    const std::size_t after = heldBytes(phase, connection.bytes);
    servingBytes_ += phase == ConnectionPhase::Serving ? after : 0;
    totalBytes_ += after - before;
}

void ConnectionTable::setBytes(Id id, std::size_t bytes)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    Connection& connection = found->second;
    const std::size_t before = heldBytes(connection.phase, connection.bytes);
    connection.bytes = bytes;
    const std::size_t after = heldBytes(connection.phase, bytes);
    totalBytes_ += after - before;
    servingBytes_ += connection.phase == ConnectionPhase::Serving ? after - before : 0;
}

// Connections without any complete request come first, then those that wait for the next one, then those that
// receive it, and young ones last.
int ConnectionTable::closingOrder(const Connection& connection, Utils::TimePoint now)
{
    if (!connection.hasServed)
        return now - connection.since >= youngAge ? 0 : 3;
    return connection.phase == ConnectionPhase::Waiting ? 1 : 2;
}

std::optional<ConnectionTable::Id> ConnectionTable::chooseOldest(
    std::size_t listener, Utils::TimePoint now) const
{
    std::optional<Id> chosen;
    std::tuple<int, Utils::TimePoint> best;
    for (const auto& [id, connection] : connections_) {
        if (connection.listener != listener || connection.phase == ConnectionPhase::Serving)
            continue;
        const std::tuple rank(closingOrder(connection, now), connection.since);
        if (!chosen || rank < best) {
            chosen = id;
            best = rank;
        }
    }
    return chosen;
}

std::optional<ConnectionTable::Id> ConnectionTable::chooseLargest(Utils::TimePoint now) const
{
    std::optional<Id> chosen;
    std::tuple<std::size_t, Utils::Duration> best;
    for (const auto& [id, connection] : connections_) {
        if (connection.phase == ConnectionPhase::Serving)
            continue;
        const std::tuple rank(connection.bytes, now - connection.since);
        if (!chosen || rank > best) {
            chosen = id;
            best = rank;
        }
    }
    return chosen;
}

std::vector<ConnectionTable::Id> ConnectionTable::takeExcess(Utils::TimePoint now)
{
    std::vector<Id> excess;
    const auto take = [&](const std::optional<Id>& id) {
        if (id) {
            excess.push_back(*id);
            remove(*id);
        }
        return id.has_value();
    };
    for (std::size_t listener = 0; listener < listeners_.size(); ++listener) {
        while (listeners_[listener].count > listeners_[listener].maxConnections
            && take(chooseOldest(listener, now))) { }
    }
    while (totalBytes_ > limits_.maxBytes && take(chooseLargest(now))) { }
    return excess;
}

bool ConnectionTable::mayServe(Id id) const
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return false;
    const Connection& connection = found->second;
    const std::size_t own
        = connection.phase == ConnectionPhase::Serving ? heldBytes(connection.phase, connection.bytes) : 0;
    // A single request is always handled.
    return servingBytes_ <= limits_.maxBytes || servingBytes_ == own;
}

} // namespace Http
