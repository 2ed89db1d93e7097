#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Http::Internal {

/*!
    Returns whether a connection between two exchanges can carry another one: the peer has not closed it, and
    nothing is waiting to be read. Bytes that nobody asked for would count as the response to the next
   request.
*/
bool isIdle(boost::asio::ip::tcp::socket& socket);

} // namespace Http::Internal
