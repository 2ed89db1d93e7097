#pragma once

#include "endpoint.h"
#include "message.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Http {

/*!
    Receives the response, or the error: Unavailable if no byte of the request was sent, OutcomeUnknown if the
    request may have been carried out.
*/
using ResponseHandler = std::function<void(Utils::Result<Response>)>;

/*!
    One kept connection to a server, used for one exchange at a time; must be used on the context's thread.

    An exchange that fails or times out closes the connection; the next one opens a new one.
*/
class ClientConnection {
public:
    /*!
        \param context runs the operations; must outlive the connection.
        \param endpoint the server.
    */
    ClientConnection(boost::asio::io_context& context, Endpoint endpoint);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /*!
        Starts an exchange; there must be none in progress.
        \param request the request; its host header is the endpoint if it has none.
        \param timeout limit of the whole exchange, opening the connection included.
        \param handler called once, never from inside this call.
    */
    void exchange(Request request, Utils::Duration timeout, ResponseHandler handler);

    /*! \return whether an exchange is in progress. */
    bool isBusy() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Http
