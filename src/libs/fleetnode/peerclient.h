#pragma once

#include "nodecontext.h"

#include "http/client.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace FleetNode {

/*! Request target of calls between nodes. */
inline constexpr char peerPath[] = "/v1/peer";

/*! Calls other nodes over persistent connections. */
class PeerClient {
public:
    using ReplyHandler = std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>;

    explicit PeerClient(NodeContext& context);

    /*!
        Calls a node.
        \param address the node's peer endpoint, as "address:port".
        \param handler receives the reply or an error, which is Unavailable if nothing was sent.
    */
    void call(const std::string& address, const FleetSchema::PeerRequest& request, Utils::Duration timeout,
        ReplyHandler handler);

private:
    NodeContext& context_;
    std::map<std::string, std::unique_ptr<Http::Client>> clients_;
};

} // namespace FleetNode
