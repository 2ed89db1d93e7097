#pragma once

#include "clientconnection.h"

namespace Http {

/*!
    Exchanges with one server over a bounded number of kept connections; must be used on the context's thread.

    Requests beyond that number wait in order; the time limit counts from the call.
*/
class Client {
public:
    /*!
        \param context runs the operations; must outlive the client.
        \param endpoint the server.
        \param maxConnections greatest number of connections.
    */
    Client(boost::asio::io_context& context, Endpoint endpoint, std::size_t maxConnections);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /*!
        Sends a request.
        \param request the request.
        \param timeout limit of the exchange, from when a connection is free.
        \param handler called once unless the client is destroyed before.
    */
    void send(Request request, Utils::Duration timeout, ResponseHandler handler);

    /*! \return the server. */
    const Endpoint& endpoint() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Http
