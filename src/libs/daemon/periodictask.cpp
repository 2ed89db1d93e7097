#include "periodictask.h"

namespace Daemon {

PeriodicTask::PeriodicTask(Utils::Duration delay, std::function<void()> function)
    : delay_(delay)
    , function_(std::move(function))
    , thread_([this] { runLoop(); })
{
}

PeriodicTask::~PeriodicTask()
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        isStopping_ = true;
    }
    stateChanged_.notify_all();
    thread_.join();
}

void PeriodicTask::wake()
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        isWoken_ = true;
    }
    stateChanged_.notify_all();
}

void PeriodicTask::runLoop()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!isStopping_) {
        isWoken_ = false;
        lock.unlock();
        function_();
        lock.lock();
        stateChanged_.wait_for(lock, delay_, [this] { return isStopping_ || isWoken_; });
    }
}

} // namespace Daemon
