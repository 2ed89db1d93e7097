#pragma once

#include "exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Gateway::Internal {

/*!
    One HTTP/1.1 connection to a backend server, with at most one exchange at a time.

    A connection whose exchange did not end with a whole answer must not be used again.
*/
class BackendConnection {
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    /*! \param strand runs all operations of the connection. */
    explicit BackendConnection(const Strand& strand);

    /*! \return the executor of all operations. */
    Strand strand() const { return strand_; }

    /*!
        Opens the connection.
        \param backend the backend server.
        \param limits time limits.
        \param yield the coroutine to suspend.
        \return success or why it could not be opened.
    */
    boost::system::error_code open(
        const BackendAddress& backend, const ExchangeLimits& limits, const boost::asio::yield_context& yield);

    /*!
        Sends a request and reads the whole answer.
        \param request the request.
        \param limits time limits.
        \param yield the coroutine to suspend.
        \return the result; its elapsed time is not set.
    */
    ExchangeResult exchange(
        const Http::Request& request, const ExchangeLimits& limits, const boost::asio::yield_context& yield);

    /*!
        Whether the next exchange may use the connection.
        \param maxIdle greatest time since the last byte from the backend server.
        \return false if it was silent for longer or the backend server closed it.
    */
    bool isUsable(Utils::Duration maxIdle);

private:
    ExchangeResult readResponse(
        bool isHead, const ExchangeLimits& limits, const boost::asio::yield_context& yield);

    Strand strand_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    Utils::TimePoint lastReceived_ {};
    bool reusable_ = false;
};

} // namespace Gateway::Internal
