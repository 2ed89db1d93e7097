#include "idlesocket.h"

#include <cerrno>

#include <sys/socket.h>

namespace Http::Internal {

bool isIdle(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace Http::Internal
