#pragma once

#include "clientconnection.h"

namespace Http {

/*!
    An asynchronous HTTP/1.1 client for one server with a limited number of persistent connections.

    Requests wait in FIFO order until a connection is available or their time limit has passed. Must be used
   on the thread of the io_context.
*/
class Client {
public:
    /*!
        \param context runs the operations; must outlive the client.
        \param maxConnections maximum number of connections, at least 1.
        \param check as for ClientConnection.
        \param limits bounds on responses.
    */
    Client(boost::asio::io_context& context, Endpoint endpoint, std::size_t maxConnections,
        std::shared_ptr<const PeerCheck> check = nullptr, ClientLimits limits = {});
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /*!
        Sends a request.
        \param limits of the exchange, including the wait for an available connection. A request that gets
        none within `limits.start` is not sent and ends with ErrorCode::Unavailable.
        \param handler called once, unless the client is destroyed first.
    */
    void send(Request request, const TimeLimits& limits, ResponseHandler handler);

    /*! Sends a request as above; \a timeout is the limit of the whole exchange. */
    void send(Request request, Utils::Duration timeout, ResponseHandler handler);

    /*! Returns the endpoint of the server. */
    const Endpoint& endpoint() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Http
