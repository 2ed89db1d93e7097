#pragma once

#include <cstddef>

namespace FleetSchema {
class NodeRecord;
}

namespace Fleet {

/*!
    Removes pending counts of queues, the lowest first, until the record fits into a row. A node whose
   heartbeats the store rejects would lose its shards.

    \param maxBytes greatest size of the serialized record.
    \return the number of counts removed.
*/
std::size_t limitPendingCounts(FleetSchema::NodeRecord& record, std::size_t maxBytes);

} // namespace Fleet
