#pragma once

#include "message.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Http {

/*! Options of a client. */
struct ClientOptions {
    std::string address; //!< IP number of the server.
    std::uint16_t port = 0;
    Utils::Duration timeout = std::chrono::seconds(2); //!< Time limit of one call.
};

/*!
    An HTTP/1.1 client for one server, for threads that may block.

    Keeps idle connections. Safe for use from several threads at once.
*/
class BlockingClient {
public:
    /*! \param options the server and the time limit. */
    explicit BlockingClient(ClientOptions options);
    ~BlockingClient();
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;

    /*!
        Sends a request and waits for the whole answer.
        \param request the request; it is sent at most once.
        \return the answer; ErrorCode::Unavailable if no byte was sent, ErrorCode::OutcomeUnknown if the
        server may have executed it.
    */
    Utils::Result<Response> send(const Request& request);

    /*! \return "address:port" of the server. */
    std::string peer() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Http
