#pragma once

#include "exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Gateway::Internal {

/*!
    An HTTP/1.1 connection to a backend server that carries at most one exchange at a time.

    A connection must not be reused unless its last exchange ended with a complete response.
*/
class BackendConnection {
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    /*! All operations of the connection run on \a strand. */
    explicit BackendConnection(const Strand& strand);

    Strand strand() const { return strand_; }

    /*!
        Connects to \a backend, suspending the coroutine \a yield.
        \return the error code of a failed attempt; no error if the connection is open.
    */
    boost::system::error_code open(
        const BackendAddress& backend, const ExchangeLimits& limits, const boost::asio::yield_context& yield);

    /*!
        Sends a request and reads the complete response, suspending the coroutine \a yield.
        \return the result, with its elapsed time left unset.
    */
    ExchangeResult exchange(
        const Http::Request& request, const ExchangeLimits& limits, const boost::asio::yield_context& yield);

    /*!
        Returns whether the connection can be used for another exchange.
        \param maxIdle maximum time since the connection was opened or its last response was complete.
        \return false if it was idle for longer, the backend server closed it, or unexpected data is waiting.
    */
    bool isUsable(Utils::Duration maxIdle);

private:
    ExchangeResult readResponse(
        bool isHead, const ExchangeLimits& limits, const boost::asio::yield_context& yield);

    Strand strand_;
    boost::beast::tcp_stream stream_;
    //! Bounds what is parsed as one piece: the header, the trailers or the header of a chunk.
    boost::beast::flat_buffer buffer_ { 64U << 10U };
    Utils::TimePoint lastReceived_ {};
    bool reusable_ = false;
};

} // namespace Gateway::Internal
