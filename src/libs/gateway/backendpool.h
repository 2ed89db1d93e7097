#pragma once

#include "exchange.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Gateway {

/*!
    Connections to backend servers, kept for reuse. Safe for use from several threads.

    The caller bounds the number of exchanges at once, and thereby the connections.
*/
class BackendPool {
public:
    /*! \param context runs the connections' operations; must outlive the pool. */
    explicit BackendPool(boost::asio::io_context& context);
    ~BackendPool();
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    /*!
        Sends a request, at most once, and reads the whole answer.
        \param backend the backend server.
        \param request the request.
        \param limits time limits.
        \param beforeSend asked before the first byte is sent.
        \param done takes the result.
    */
    void exchange(const BackendAddress& backend, Http::Request request, const ExchangeLimits& limits,
        BeforeSendCallback beforeSend, ExchangeCallback done);

    /*!
        Closes the idle connections to a backend server, for example after one was found silent.
        \param backend the backend server.
    */
    void closeIdle(const BackendAddress& backend);

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Gateway
