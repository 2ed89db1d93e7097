#pragma once

#include "utils/clock.h"

#include <optional>

namespace Requests {

/*! Timeouts of a connection to a backend server. */
struct ConnectionTimeouts {
    Utils::Duration connect = std::chrono::milliseconds(500); //!< Maximum time to establish it.
    Utils::Duration progress
        = std::chrono::seconds(3); //!< Maximum time without a byte in either direction during an exchange.
    Utils::Duration idle = std::chrono::seconds(5); //!< Maximum time without an exchange.
};

/*!
    State of one connection to a backend server, which serves one exchange at a time.

    A connection without progress during an exchange and one that has been idle for long time out. A
    connection on which an exchange was not finished is never used again.
*/
class ConnectionHealth {
public:
    enum class State { Connecting, Idle, Exchanging, Closed };

    /*! \param now when the connection attempt began. */
    ConnectionHealth(ConnectionTimeouts timeouts, Utils::TimePoint now)
        : timeouts_(timeouts)
        , lastActivityAt_(now)
    {
    }

    State state() const { return state_; }

    /*! Makes the connection idle after it was established. */
    void onConnected(Utils::TimePoint now) { enter(State::Idle, now); }

    /*!
        Begins an exchange.
        \return false if the connection must not be used; it is closed if it had been idle for too long.
    */
    bool beginExchange(Utils::TimePoint now)
    {
        if (isTimedOut(now))
            close();
        if (state_ != State::Idle)
            return false;
        enter(State::Exchanging, now);
        return true;
    }

    /*! Restarts the timeout of the current state after a byte was written or read. */
    void onProgress(Utils::TimePoint now) { lastActivityAt_ = now; }

    /*!
        Makes the connection idle after an exchange, or closes it if it cannot be reused.
        \param isReusable true if the whole answer was read and the backend server keeps the connection open.
    */
    void endExchange(bool isReusable, Utils::TimePoint now)
    {
        if (!isReusable)
            close();
        else if (state_ == State::Exchanging)
            enter(State::Idle, now);
    }

    void close() { state_ = State::Closed; }

    /*! \return when the current state times out; nothing if the connection is closed. */
    std::optional<Utils::TimePoint> timeoutAt() const
    {
        switch (state_) {
        case State::Connecting:
            return lastActivityAt_ + timeouts_.connect;
        case State::Idle:
            return lastActivityAt_ + timeouts_.idle;
        case State::Exchanging:
            return lastActivityAt_ + timeouts_.progress;
        case State::Closed:
            break;
        }
        return {};
    }

    /*! \return whether the current state has timed out. */
    bool isTimedOut(Utils::TimePoint now) const
    {
        const auto timeout = timeoutAt();
        return timeout && *timeout <= now;
    }

private:
    void enter(State state, Utils::TimePoint now)
    {
        if (state_ == State::Closed)
            return;
        state_ = state;
        lastActivityAt_ = now;
    }

    ConnectionTimeouts timeouts_;
    State state_ = State::Connecting;
    Utils::TimePoint lastActivityAt_;
};

} // namespace Requests
