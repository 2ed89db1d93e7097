#pragma once

#include "jobrouter.h"
#include "nodecontext.h"

#include "fleet/queuetable.h"
#include "http/server.h"

namespace FleetNode {

class ShardOwnership;

/*! Serves callers' requests: finds the queue, validates the request and passes it to the job router. */
class CallerService {
public:
    /*! All arguments must outlive the service. \param queues the queues in force. */
    CallerService(NodeContext& context, const Fleet::QueueTable& queues, JobRouter& router,
        const ShardOwnership& ownership);

    /*! Handles one request; \p respond is called exactly once. */
    void handle(const Http::Request& request, const Http::Responder& respond);

private:
    void dispatch(Ports::CallerRequest call, JobRouter::ResponseHandler handler);

    NodeContext& context_;
    const Fleet::QueueTable& queues_;
    JobRouter& router_;
    const ShardOwnership& ownership_;
};

} // namespace FleetNode
