#include "workerrestart.h"

#include "task.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

WorkerRestart describeRestart(const Worker& worker, std::int64_t startUnixMs, Utils::TimePoint now)
{
    WorkerRestart restart;
    restart.worker = worker.info.id;
    restart.formerStartUnixMs = worker.bornMs;
    restart.startUnixMs = startUnixMs;
    if (worker.clockSeenAt != Utils::TimePoint {}) {
        restart.formerReportAgeMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - worker.clockSeenAt).count();
    }
    restart.mayHoldFormerLease = worker.mayHoldFormerLease;
    restart.attemptCount = worker.tasks.size();
    restart.unconfirmedCount = static_cast<std::size_t>(std::count_if(
        worker.tasks.begin(), worker.tasks.end(), [](const Task* task) { return !task->hasStarted; }));
    return restart;
}

} // namespace Fleet
