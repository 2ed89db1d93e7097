#pragma once

#include "connectiontable.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

/*! The connections of all servers of a process; closes those that ConnectionTable chooses. Thread-safe. */
class ConnectionRegistry {
public:
    /*! Called when connections are closed or a request is refused because of a bound. */
    using Observer
        = std::function<void(std::string_view listener, std::string_view reason, std::size_t count)>;

    explicit ConnectionRegistry(ConnectionLimits limits, Observer observer = {});

    /*! Adds a listener. \param name for the observer. */
    std::size_t addListener(std::string name, std::size_t maxConnections);

    /*!
        Adds a connection, and closes others if there are too many.

        \param close closes the connection later, not inside the call.
        \return its number; empty if it must be closed, as all others serve requests.
    */
    std::optional<ConnectionTable::Id> add(std::size_t listener, std::function<void()> close);

    void remove(ConnectionTable::Id id);

    /*! As ConnectionTable::setPhase(). */
    void setPhase(ConnectionTable::Id id, ConnectionPhase phase);

    /*! As ConnectionTable::setBytes(); closes connections if they hold too much together. */
    void setBytes(ConnectionTable::Id id, std::size_t bytes);

    /*! As ConnectionTable::mayServe(). */
    bool mayServe(ConnectionTable::Id id);

private:
    struct Entry {
        std::size_t listener = 0;
        std::function<void()> close;
    };

    void closeExcess(std::unique_lock<std::mutex>& lock, std::string_view reason);

    std::mutex mutex_;
    ConnectionTable table_;
    std::vector<std::string> listenerNames_;
    std::map<ConnectionTable::Id, Entry> entries_;
    Observer observer_;
};

} // namespace Http
