#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace Http {

/*! What a server's connection is doing. */
enum class ConnectionPhase {
    Waiting, //!< For the first byte of a request.
    Receiving, //!< A request that is not complete.
    Serving, //!< A complete request is handled, or its response is written.
};

/*! Bounds on the connections of all servers of a process. */
struct ConnectionLimits {
    std::size_t maxBytes = std::numeric_limits<std::size_t>::max(); //!< What all of them may hold.
};

/*!
    Decides which connections a process closes when clients open too many or send too much; does no I/O.

    Handles the load of clients that keep to no limits: silent connections, requests that never end, and large
    bodies on many connections. Ordinary callers send a short request as soon as they have connected, so a
    connection is closed the earlier the longer it has gone without a complete request. A connection with a
    complete request is never closed: the request may have been carried out.
*/
class ConnectionTable {
public:
    using Id = std::uint64_t;

    explicit ConnectionTable(ConnectionLimits limits)
        : limits_(limits)
    {
    }

    /*!
        Adds a listener.

        \param maxConnections greatest number of connections that it may have open.
        \return its number.
    */
    std::size_t addListener(std::size_t maxConnections);

    /*! Adds a connection that waits for its first request. */
    Id add(std::size_t listener, Utils::TimePoint now);

    void remove(Id id);

    /*! Sets what a connection is doing. */
    void setPhase(Id id, ConnectionPhase phase, Utils::TimePoint now);

    /*! Sets the bytes of requests and responses that a connection holds. */
    void setBytes(Id id, std::size_t bytes);

    /*!
        Chooses connections to close, so that the bounds hold, and removes them.

        \return the connections; empty if the bounds hold or all connections serve requests.
    */
    std::vector<Id> takeExcess(Utils::TimePoint now);

    /*! \return whether a request that has been read may be handled; otherwise it must be refused. */
    bool mayServe(Id id) const;

    /*! \return the number of open connections of a listener. */
    std::size_t count(std::size_t listener) const { return listeners_[listener].count; }

    /*! \return what all connections hold. */
    std::size_t totalBytes() const { return totalBytes_; }

private:
    struct Listener {
        std::size_t maxConnections = 0;
        std::size_t count = 0;
    };

    struct Connection {
        std::size_t listener = 0;
        ConnectionPhase phase = ConnectionPhase::Waiting;
        bool hasServed = false; //!< It has had a complete request.
        Utils::TimePoint since {}; //!< Since when it has gone without a complete request.
        std::size_t bytes = 0;
    };

    using Connections = std::map<Id, Connection>;

    static int closingOrder(const Connection& connection, Utils::TimePoint now);
    std::optional<Id> chooseOldest(std::size_t listener, Utils::TimePoint now) const;
    std::optional<Id> chooseLargest(Utils::TimePoint now) const;

    ConnectionLimits limits_;
    std::vector<Listener> listeners_;
    Connections connections_;
    Id lastId_ = 0;
    std::size_t totalBytes_ = 0;
    std::size_t servingBytes_ = 0; //!< Part of them that is held by connections with complete requests.
};

} // namespace Http
