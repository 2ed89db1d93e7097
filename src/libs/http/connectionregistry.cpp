#include "connectionregistry.h"

#include <algorithm>
#include <chrono>

namespace Http {

namespace {

Utils::TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

ConnectionRegistry::ConnectionRegistry(ConnectionLimits limits, Observer observer)
    : table_(limits)
    , observer_(std::move(observer))
{
}

std::size_t ConnectionRegistry::addListener(std::string name, std::size_t maxConnections)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    listenerNames_.push_back(std::move(name));
    return table_.addListener(maxConnections);
}

std::optional<ConnectionTable::Id> ConnectionRegistry::add(std::size_t listener, std::function<void()> close)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const ConnectionTable::Id id = table_.add(listener, currentTime());
    entries_[id] = { listener, std::move(close) };
    closeExcess(lock, "connections");
    lock.lock();
    return entries_.contains(id) ? std::optional(id) : std::nullopt;
}

void ConnectionRegistry::remove(ConnectionTable::Id id)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    table_.remove(id);
    entries_.erase(id);
}

void ConnectionRegistry::setPhase(ConnectionTable::Id id, ConnectionPhase phase)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    table_.setPhase(id, phase, currentTime());
}

void ConnectionRegistry::setBytes(ConnectionTable::Id id, std::size_t bytes)
{
    std::unique_lock<std::mutex> lock(mutex_);
    table_.setBytes(id, bytes);
    closeExcess(lock, "memory");
}

bool ConnectionRegistry::mayServe(ConnectionTable::Id id)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (table_.mayServe(id))
        return true;
    const auto entry = entries_.find(id);
    const std::string listener
        = entry == entries_.end() ? std::string() : listenerNames_[entry->second.listener];
    lock.unlock();
    if (observer_)
        observer_(listener, "refused", 1);
    return false;
}

// Leaves the lock, as observers and connections may call the registry.
void ConnectionRegistry::closeExcess(std::unique_lock<std::mutex>& lock, std::string_view reason)
{
    std::vector<Entry> closed;
    for (const ConnectionTable::Id id : table_.takeExcess(currentTime())) {
        const auto entry = entries_.extract(id);
        if (!entry.empty())
            closed.push_back(entry.mapped());
    }
    lock.unlock();
    for (const Entry& entry : closed) {
        entry.close();
        if (observer_)
            observer_(listenerNames_[entry.listener], reason, 1);
    }
}

} // namespace Http
