#pragma once

#include "nodecontext.h"

#include <functional>
#include <memory>

namespace FleetNode {

/*! A whole node: callers' requests, shards, membership and configuration on one event loop. */
class Node {
public:
    /*! \param context what the node shares; must outlive it. */
    explicit Node(NodeContext& context);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /*! Starts to listen and to work. \return an error if an address cannot be taken. */
    Utils::Status start();

    /*!
        Stops gracefully: hands the shards over and finishes the requests in progress.
        \param done called once when the process may end.
    */
    void stop(std::function<void()> done);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace FleetNode
