#pragma once

#include "jobrouter.h"
#include "nodecontext.h"

#include "fleet/queuetable.h"
#include "http/server.h"

namespace FleetNode {

class ShardOwnership;

/*! Answers callers: finds the queue, checks the request and hands it to the router. */
class CallerService {
public:
    /*!
        \param context what the node shares.
        \param queues the queues in force; must outlive the service, as the others.
        \param router brings requests to the owners.
        \param ownership knows the counts of waiting jobs.
    */
    CallerService(NodeContext& context, const Fleet::QueueTable& queues, JobRouter& router,
        const ShardOwnership& ownership);

    /*! Handles one request. \param request the request. \param respond receives the response. */
    void handle(const Http::Request& request, const Http::Responder& respond);

private:
    void dispatch(Ports::CallerRequest call, JobRouter::ResponseHandler handler);

    NodeContext& context_;
    const Fleet::QueueTable& queues_;
    JobRouter& router_;
    const ShardOwnership& ownership_;
};

} // namespace FleetNode
