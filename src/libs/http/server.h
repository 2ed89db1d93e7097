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

class ConnectionRegistry;

/*! Sends the response to a request. Must be called exactly once; may be called from any thread. */
using Responder = std::function<void(Response)>;

/*! Handles a complete request on a thread that runs the io_context; must not block. */
using Handler = std::function<void(Request, Responder)>;

/*! Options of a server. */
struct ServerOptions {
    std::string address = "127.0.0.1"; //!< IP address to listen on.
    std::uint16_t port = 0; //!< 0 lets the operating system choose.
    std::uint64_t maxBodyBytes = 8U << 20U; //!< Requests with a larger body are rejected with status 413.
    //! Greatest size of what is parsed as one piece: the header, the trailers or the header of a chunk.
    std::size_t maxBufferBytes = 64U << 10U;
    //! A connection that is idle for longer is closed, also one whose request takes longer to arrive.
    Utils::Duration idleTimeout = std::chrono::seconds(60);
    Utils::Duration stopGracePeriod = std::chrono::milliseconds(
        500); //!< A stopping server still accepts requests on open connections for this time.
    std::string name; //!< For the registry's observer.
    //! Bounds the connections of all servers of the process; null: no bound.
    std::shared_ptr<ConnectionRegistry> connections;
    std::size_t maxConnections = 0; //!< Of this server; valid if there is a registry.
    std::uint32_t refusalRetryAfterS = 1; //!< Retry-After of a request that is refused for want of memory.
};

/*!
    An HTTP/1.1 server.

    Responds to malformed requests itself. Runs on the threads that run the io_context.
*/
class Server {
public:
    /*!
        \param context runs the server's operations; must outlive the server.
        \param handler called for each complete request.
    */
    Server(boost::asio::io_context& context, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /*! Starts listening; fails with ErrorCode::Unavailable if the address cannot be bound. */
    Utils::Status start();

    /*! Returns the port on which the server listens; valid once it is started. */
    std::uint16_t port() const;

    /*!
        Stops gracefully: accepts no new connections, completes the requests in progress and those that arrive
        on open connections within the grace period, then closes the connections.
        \param done called once after the last connection is closed.
    */
    void stop(const std::function<void()>& done);

    /*! Returns the number of requests passed to the handler whose responses are still outstanding. */
    std::size_t requestsInProgress() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Http
