#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Fleet {

/*!
    A task's place in a gang that is divided among several shards. Known only to the owner that took part in
   the division: after a change of owner, the part is returned.
*/
struct GangPartState {
    std::uint32_t size = 0; //!< Members that the shard starts together; 0: the gang is not divided.
    std::uint32_t attempt = 0; //!< The only attempt that the part may start.
    Utils::TimePoint since {}; //!< Time of the division or, in a host shard, of the delegation.
    //! Until when capacity is held for the task, here or in its host shard; the clock's epoch: none is held.
    Utils::TimePoint heldUntil {};
    Utils::TimePoint calledAt {}; //!< Time of the latest call about the part.
    bool isStartDecided = false; //!< All parts were ready; valid in the origin shard.
    bool isStartAnswered = false; //!< The host shard has answered the call to start.
};

} // namespace Fleet
