#pragma once

#include "utils/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace FleetNode {

/*! One-shot timer whose function is never called after the timer was destroyed, stopped or restarted. */
class Timer {
public:
    explicit Timer(boost::asio::io_context& io)
        : timer_(std::make_shared<boost::asio::steady_timer>(io))
    {
    }

    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /*!
        Calls \p function once after \p delay; replaces a function that was set before.
    */
    void start(Utils::Duration delay, std::function<void()> function)
    {
        stop();
        alive_ = std::make_shared<bool>(true);
        isSet_ = true;
        timer_->expires_after(delay);
        timer_->async_wait([this, weak = std::weak_ptr<bool>(alive_), timer = timer_,
                               function = std::move(function)](boost::system::error_code code) {
            const auto alive = weak.lock();
            if (code || !alive)
                return;
            isSet_ = false;
            function();
        });
    }

    /*! Stops the timer without calling its function. */
    void stop()
    {
        alive_.reset();
        isSet_ = false;
        timer_->cancel();
    }

    /*! \return whether the function has yet to be called. */
    bool isSet() const { return isSet_; }

private:
    std::shared_ptr<boost::asio::steady_timer> timer_;
    std::shared_ptr<bool> alive_;
    bool isSet_ = false;
};

} // namespace FleetNode
