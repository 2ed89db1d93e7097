#pragma once

#include "utils/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Daemon {

/*! Calls a function repeatedly on its own thread, with a delay between calls, until destroyed. */
class PeriodicTask {
public:
    /*!
        \param delay time between the end of one call and the start of the next.
        \param function may block.
    */
    PeriodicTask(Utils::Duration delay, std::function<void()> function);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask&) = delete;
    PeriodicTask& operator=(const PeriodicTask&) = delete;

    /*! Starts the next call immediately instead of after the delay. */
    void wake();

private:
    void runLoop();

    Utils::Duration delay_;
    std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable stateChanged_;
    bool isStopping_ = false;
    bool isWoken_ = false;
    std::thread thread_;
};

} // namespace Daemon
