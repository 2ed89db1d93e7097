#pragma once

#include "exchange.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Gateway {

/*!
    Pool of reusable connections to backend servers. Thread-safe.

    The pool does not limit the number of connections; its user limits them by limiting concurrent exchanges.
*/
class BackendPool {
public:
    /*! The connections run on \a context, which must outlive the pool. */
    explicit BackendPool(boost::asio::io_context& context);
    ~BackendPool();
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    /*!
        Sends a request at most once and reads the complete response.
        \param beforeSend called before the first byte is sent; can still cancel the exchange.
        \param done receives the result.
    */
    void exchange(const BackendAddress& backend, Http::Request request, const ExchangeLimits& limits,
        BeforeSendCallback beforeSend, ExchangeCallback done);

    /*! Closes the idle connections to \a backend, for example after an exchange with it ended as Broken. */
    void closeIdle(const BackendAddress& backend);

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Gateway
