#pragma once

#include "message.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Http {

/*! Options of a BlockingClient. */
struct ClientOptions {
    std::string address; //!< IP address of the server.
    std::uint16_t port = 0;
    Utils::Duration timeout
        = std::chrono::seconds(2); //!< For opening a connection, and again for the exchange.
};

/*!
    An HTTP/1.1 client for one server, for threads that may block.

    Idle connections are kept for reuse. Thread-safe.
*/
class BlockingClient {
public:
    explicit BlockingClient(ClientOptions options);
    ~BlockingClient();
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;

    /*!
        Sends a request at most once and waits for the complete response.
        \return ErrorCode::Unavailable if no byte was sent, ErrorCode::OutcomeUnknown if the server may have
        executed the request.
    */
    Utils::Result<Response> send(const Request& request);

    /*! Returns the server as "address:port". */
    std::string peer() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Http
