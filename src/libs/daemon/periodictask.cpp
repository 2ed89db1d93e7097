#include "periodictask.h"

namespace Daemon {

PeriodicTask::PeriodicTask(Utils::Duration pause, std::function<void()> function)
    : pause_(pause)
    , function_(std::move(function))
    , thread_([this] { loop(); })
{
}

PeriodicTask::~PeriodicTask()
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void PeriodicTask::wake()
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        woken_ = true;
    }
    changed_.notify_all();
}

void PeriodicTask::loop()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        woken_ = false;
        lock.unlock();
        function_();
        lock.lock();
        changed_.wait_for(lock, pause_, [this] { return stopping_ || woken_; });
    }
}

} // namespace Daemon
