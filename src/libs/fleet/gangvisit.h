#pragma once

namespace Fleet {

struct Task;

/*! What a tick remembers of a divided gang while it visits the members one after the other. */
struct GangVisit {
    const Task* first = nullptr; //!< First member; null if no gang is visited yet.
    bool isOver = false; //!< The origin shard does not wait for the parts of the division any more.
    bool hasHeld = false; //!< A member for which capacity is held was visited.
};

} // namespace Fleet
