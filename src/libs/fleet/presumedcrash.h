#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <string>

namespace Fleet {

/*!
    A worker that may have crashed under an attempt: nothing listened at its address and its lease ran out.
   The same is seen of a worker that is cut off and runs on, so the verdict waits until the worker reports
   again or has stayed away.
*/
struct PresumedCrash {
    std::string worker;
    std::int64_t workerBornMs = 0; //!< Incarnation that the attempt was lost with; 0 if unknown.
    std::uint32_t attempt = 0;
    Utils::TimePoint presumedAt {};
};

} // namespace Fleet
