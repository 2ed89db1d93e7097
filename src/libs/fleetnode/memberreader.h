#pragma once

#include "nodecontext.h"

#include "fleet/memberview.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace FleetNode {

/*!
    Keeps the view of the members up to date, by reading their rows from the store or through a relay.

    Reading the rows of all nodes in every node makes the traffic at the store grow with the square of the
    number of nodes. Therefore the nodes of a failure domain ask a relay, which reads the rows and answers
   them after each read. A node reads the rows itself if it is the relay, if the relay does not answer in
   time, or if it cannot reach the store, so that it notices that.
*/
class MemberReader {
public:
    using ReplyHandler = std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>;
    /*! Calls a node at an address; the handler runs later, not inside the call. */
    using PeerCaller = std::function<void(
        const std::string& address, const FleetSchema::PeerRequest&, Utils::Duration timeout, ReplyHandler)>;

    /*! Receives what a read has changed besides the view of the members. */
    struct Events {
        /*! Called with the rack map's row if there is one, after the view was updated. */
        std::function<void(const Ports::Row&)> onRackMap;
        std::function<void()> onUpdated;
        std::function<void(const Utils::Error&)> onFailed; //!< The store did not answer a read.
    };

    /*! \param members view to update; must outlive the object. */
    MemberReader(NodeContext& context, Fleet::MemberView& members, PeerCaller callPeer, Events events);

    /*!
        Updates the view unless an update is in progress. Updates through a relay then follow one another
       until one fails.

        \param mayUseRelay whether the node has reached the store itself with its latest call.
    */
    void read(bool mayUseRelay);

    /*! Serves a node that uses this one as its relay. */
    void serve(const FleetSchema::MembersRequest& request,
        const std::function<void(const FleetSchema::PeerReply&)>& handler);

    /*! \return when this node last read the rows from the store; the clock's epoch if never. */
    Utils::TimePoint storeReadAt() const { return storeReadAt_; }

private:
    /*! A request that waits for the next read. */
    struct WaitingRequest {
        FleetSchema::MembersRequest request;
        std::function<void(const FleetSchema::PeerReply&)> handler;
    };

    void readStore();
    void readPage(const std::string& from);
    void onPage(const std::string& from, const Utils::Result<Ports::RowPage>& result);
    void onReadFailed(const Utils::Error& error);
    void onRows();
    bool askRelay();
    void onRelayReply(const std::string& relay, const Utils::Result<FleetSchema::PeerReply>& result);
    bool applyReply(const FleetSchema::MembersReply& reply);
    void answerWaiting(bool hasRead);
    FleetSchema::PeerReply makeReply(const FleetSchema::MembersRequest& request) const;

    NodeContext& context_;
    Fleet::MemberView& members_;
    PeerCaller callPeer_;
    Events events_;
    std::vector<WaitingRequest> waitingRequests_;
    Utils::TimePoint relaysAvoidedUntil_ {}; //!< After a relay did not answer.
    std::vector<Ports::Row> rows_; //!< Pages of the read in progress.
    std::uint64_t storeVersion_ = 0; //!< Newest version in the store at the first page.
    Ports::Row rackMap_; //!< Version 0: there is none.
    Utils::TimePoint storeReadAt_ {};
    bool isReading_ = false;
    bool mayUseRelay_ = false;
    bool readsStore_ = false; //!< The latest update came from the store.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
