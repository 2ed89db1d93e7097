#pragma once

#include "utils/clock.h"

#include <optional>

namespace Requests {

/*! Bounds of one connection to a backend server. */
struct ConnectionBounds {
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
    ConnectionHealth(ConnectionBounds bounds, Utils::TimePoint now)
        : bounds_(bounds)
        , since_(now)
    {
    }

    /*! \return the state. */
    State state() const { return state_; }

    /*! The connection stands. \param now the current time. */
    void connected(Utils::TimePoint now) { enter(State::Idle, now); }

    /*!
        Begins an exchange.
        \param now the current time.
        \return false if the connection must not be used; it is closed then if it had been idle too long.
    */
    bool beginExchange(Utils::TimePoint now)
    {
        if (isOverdue(now))
            close();
        if (state_ != State::Idle)
            return false;
        enter(State::Exchanging, now);
        return true;
    }

    /*! A byte was written or read. \param now the current time. */
    void progressed(Utils::TimePoint now) { since_ = now; }

    /*!
        The exchange ended.
        \param whole true if the whole answer was read and the backend server keeps the connection open.
        \param now the current time.
    */
    void endExchange(bool whole, Utils::TimePoint now)
    {
        if (!whole)
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
    std::optional<Utils::TimePoint> due() const
    {
        switch (state_) {
        case State::Connecting:
            return since_ + bounds_.connect;
        case State::Idle:
            return since_ + bounds_.idle;
        case State::Exchanging:
            return since_ + bounds_.progress;
        case State::Closed:
            break;
        }
        return {};
    }

    /*! \return true if the bound of its state has passed. \param now the current time. */
    bool isOverdue(Utils::TimePoint now) const
    {
        const auto end = due();
        return end && *end <= now;
    }

private:
    void enter(State state, Utils::TimePoint now)
    {
        if (state_ == State::Closed)
            return;
        state_ = state;
        since_ = now;
    }

    ConnectionBounds bounds_;
    State state_ = State::Connecting;
    Utils::TimePoint since_;
};

} // namespace Requests
