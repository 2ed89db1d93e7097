#pragma once

#include "message.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Http {

/*! Takes the answer to one request; call it exactly once, from any thread. */
using Responder = std::function<void(Response)>;

/*! Handles one whole request on a serving thread; it must not block. */
using Handler = std::function<void(Request, Responder)>;

/*! Options of a server. */
struct ServerOptions {
    std::string address = "127.0.0.1"; //!< IP number to listen on.
    std::uint16_t port = 0; //!< 0: the system chooses.
    std::uint64_t maxBodyBytes = 8U << 20U; //!< A larger body is answered 413.
    Utils::Duration idleTimeout = std::chrono::seconds(60); //!< A connection idle for so long is closed.
    Utils::Duration stopGracePeriod = std::chrono::milliseconds(
        500); //!< Time for which a stopping server still takes requests from open connections.
};

/*!
    An HTTP/1.1 server.

    Answers malformed requests by itself. Its threads are those that run the io_context.
*/
class Server {
public:
    /*!
        \param context runs the server's operations; must outlive the server.
        \param options where to listen and the limits.
        \param handler called for each request.
    */
    Server(boost::asio::io_context& context, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /*! Starts to listen. \return an error if the address cannot be taken. */
    Utils::Status start();

    /*! \return the port listened on, once started. */
    std::uint16_t port() const;

    /*!
        Stops gracefully: accepts no new connections, answers the requests in progress and those that
        open connections send within the grace time, then closes.
        \param done called once when the last connection is closed.
    */
    void stop(const std::function<void()>& done);

    /*! \return number of requests handed to the handler and not yet answered. */
    std::size_t requestsInProgress() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Http
