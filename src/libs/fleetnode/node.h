#pragma once

#include "nodecontext.h"

#include <functional>
#include <memory>

namespace FleetNode {

/*! A complete node: serves callers and peers, runs shards and follows the configuration on one event loop. */
class Node {
public:
    /*! \param context must outlive the node. */
    explicit Node(NodeContext& context);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /*! Starts the node. \return an error if an address cannot be listened on. */
    Utils::Status start();

    /*!
        Stops gracefully: hands over the shards and finishes the requests in progress.
        \param done called once when the process may exit.
    */
    void stop(std::function<void()> done);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace FleetNode
