#pragma once

#include <fleet.pb.h>

#include <span>
#include <string>

namespace Fleet {

/*!
    Chooses the node through which a node learns of the other members.

    Nodes that have the same view choose the same relay for a failure domain, so few nodes read the rows of
   all members. A relay is no authority: a node that gets no reply from it reads the rows itself.

    \param self the choosing node.
    \param alive the nodes that are alive, sorted by name, including \p self.
    \return the node of the same failure domain with the most processors; null if the node should read the
        rows itself, because it is that node or because there are too few nodes for a relay to pay off.
*/
const FleetSchema::NodeRecord* chooseRelay(
    const FleetSchema::NodeRecord& self, std::span<const FleetSchema::NodeRecord* const> alive);

} // namespace Fleet
