#pragma once

#include "nodecontext.h"

#include "http/client.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace FleetNode {

/*! Path under which nodes call each other. */
inline constexpr char peerPath[] = "/v1/peer";

/*! Calls other nodes over kept connections. */
class PeerClient {
public:
    using ReplyHandler = std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>;

    /*! \param context what the node shares. */
    explicit PeerClient(NodeContext& context);

    /*!
        Calls a node.
        \param address where it listens for peers.
        \param request the call.
        \param timeout limit of the call.
        \param handler receives the reply; Unavailable if nothing was sent.
    */
    void call(const std::string& address, const FleetSchema::PeerRequest& request, Utils::Duration timeout,
        ReplyHandler handler);

private:
    NodeContext& context_;
    std::map<std::string, std::unique_ptr<Http::Client>> clients_;
};

} // namespace FleetNode
