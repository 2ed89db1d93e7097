#pragma once

#include "utils/clock.h"

namespace Fleet {

class TailLatencyModel;
struct Worker;

/*!
    Updates the model and the load of each latency-critical task of a worker from its latest report, on the
    assumption that the tasks of a step share their users' load.

    Handles best-effort work beside tasks whose load swings within seconds: the swing would hide what the
    best-effort tasks add. The other tasks of the step, beside other best-effort tasks, show the load of this
    moment, so a single report tells the pressure of the images beside a task.

    \param worker worker whose tasks hold the reported measurements.
*/
void processSharedLoads(Worker& worker, TailLatencyModel& model, Utils::TimePoint now);

} // namespace Fleet
