#pragma once

#include "utils/clock.h"

#include <optional>

namespace Requests {

/*! Bounds of one connection to a backend server. */
struct ConnectionTimeouts {
    Utils::Duration connect = std::chrono::milliseconds(500); //!< To establish it.
    Utils::Duration progress
        = std::chrono::seconds(3); //!< Without a byte in either direction during an exchange.
    Utils::Duration idle = std::chrono::seconds(5); //!< Unused before it is retired.
};

/*!
    Life of one connection: found silent by missing progress, retired when idle, used by one exchange at a
   time.

    A connection on which an exchange was not finished is never used again.
*/
class ConnectionHealth {
public:
    enum class State { Connecting, Idle, Exchanging, Closed };

    /*!
        \param bounds time limits.
        \param now when the connection was begun.
    */
    ConnectionHealth(ConnectionTimeouts timeouts, Utils::TimePoint now)
        : timeouts_(timeouts)
        , lastActivityAt_(now)
    {
    }

    /*! \return the state. */
    State state() const { return state_; }

    /*! The connection stands. \param now the current time. */
    void onConnected(Utils::TimePoint now) { enter(State::Idle, now); }

    /*!
        Begins an exchange.
        \param now the current time.
        \return false if the connection must not be used; it is closed then if it had been idle too long.
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

    /*! A byte was written or read. \param now the current time. */
    void onProgress(Utils::TimePoint now) { lastActivityAt_ = now; }

    /*!
        The exchange ended.
        \param whole true if the whole answer was read and the backend server keeps the connection open.
        \param now the current time.
    */
    void endExchange(bool isReusable, Utils::TimePoint now)
    {
        if (!isReusable)
            close();
        else if (state_ == State::Exchanging)
            enter(State::Idle, now);
    }

    /*! The connection is of no more use. */
    void close() { state_ = State::Closed; }

    /*!
        When it becomes overdue.
        \return the end of the bound of its state; nothing if it is closed.
    */
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

    /*! \return true if the bound of its state has passed. \param now the current time. */
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
