#pragma once

#include "clientlimits.h"
#include "endpoint.h"
#include "message.h"
#include "timelimits.h"

#include "utils/result.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Http {

struct PeerCheck;

/*!
    Receives the response or an error: Unavailable if no byte of the request was sent, OutcomeUnknown if the
    server may have executed the request, also by an earlier sending, or NotFound if it was not sent because
    another process than Request::peerProcess has taken the place of the server.
*/
using ResponseHandler = std::function<void(Utils::Result<Response>)>;

/*!
    A persistent HTTP/1.1 connection to a server that carries one exchange at a time.

    A failed or timed out exchange closes the connection, and so do bytes that follow a response; the next
    exchange reconnects. Must be used on the thread of the io_context.
*/
class ClientConnection {
public:
    /*!
        \param context runs the operations; must outlive the connection.
        \param check sent on a new connection before the first request that is meant for one process; may be
            null if there are none.
        \param limits bounds on responses.
    */
    ClientConnection(boost::asio::io_context& context, Endpoint endpoint,
        std::shared_ptr<const PeerCheck> check, ClientLimits limits = {});
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /*!
        Starts an exchange; no other exchange may be in progress.
        \param request its Host header defaults to the endpoint.
        \param limits of the exchange, including the connection setup.
        \param handler called once, but never before this function returns.
    */
    void exchange(Request request, const TimeLimits& limits, ResponseHandler handler);

    /*! Returns whether an exchange is in progress. */
    bool isBusy() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Http
