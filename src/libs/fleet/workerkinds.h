#pragma once

#include <cstdint>

namespace FleetSchema {
class ShardLoad;
class StepSpec;
} // namespace FleetSchema

namespace Fleet {

struct Worker;

/*! Adds a worker to the kinds of workers that a shard's load reports. */
void addToWorkerKinds(const Worker& worker, FleetSchema::ShardLoad& load);

/*!
    \return how many tasks of a step the workers of a shard can run at once when nothing else runs there, at
   most; 0 if they can never run one, because they lack its label or are too small.
*/
std::uint64_t countSlots(const FleetSchema::StepSpec& step, const FleetSchema::ShardLoad& load);

/*! \return whether the workers of a shard can ever run a task of a step; all tasks of it if it is a gang. */
bool canEverRun(const FleetSchema::StepSpec& step, const FleetSchema::ShardLoad& load);

/*! \return whether the workers of a shard can ever run a part of a gang. */
bool canHostPart(const FleetSchema::StepSpec& step, const FleetSchema::ShardLoad& load);

} // namespace Fleet
