#pragma once

#include "utils/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Daemon {

/*! Runs a function on a thread of its own, again and again with a pause, until destroyed. */
class PeriodicTask {
public:
    /*!
        \param pause time between the end of a run and the start of the next.
        \param function what to run; it may block.
    */
    PeriodicTask(Utils::Duration delay, std::function<void()> function);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask&) = delete;
    PeriodicTask& operator=(const PeriodicTask&) = delete;

    /*! Starts the next run now instead of after the pause. */
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
