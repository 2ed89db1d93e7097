#pragma once

#include "http/message.h"
#include "utils/clock.h"
#include "utils/error.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Gateway {

/*! How far an exchange with a backend server got. */
enum class ExchangePhase {
    NotSent, //!< No byte of the request reached the backend server.
    Refused, //!< The backend server reported that it did not execute the request.
    Completed, //!< The complete response arrived.
    Broken, //!< Bytes were sent, but no complete response arrived: the request may have run.
};

struct ExchangeResult {
    ExchangePhase phase = ExchangePhase::NotSent;
    Http::Response response; //!< Valid if Completed or Refused.
    Utils::Error error; //!< Valid if NotSent or Broken; its code does not tell whether bytes were sent.
    Utils::Duration elapsed {};
};

/*! Address on which a backend server listens. */
struct BackendAddress {
    std::string address;
    std::uint16_t port = 0;

    /*! Returns "address:port". */
    std::string toString() const { return address + ":" + std::to_string(port); }
};

/*! Limits of one exchange. */
struct ExchangeLimits {
    Utils::TimePoint deadline; //!< The exchange fails at this time.
    Utils::Duration connectTimeout {}; //!< For opening a connection.
    Utils::Duration
        progressTimeout {}; //!< Maximum time without progress once connected; 0 for no such limit.
    Utils::Duration maxIdle {}; //!< A pooled connection that was idle for longer is not reused.
    std::uint64_t maxBodyBytes = 0; //!< A larger response body ends the exchange as Broken.
};

/*! Called once connected, before the first byte is sent; returning false ends the exchange as NotSent. */
using BeforeSendCallback = std::function<bool()>;

/*! Receives the result of an exchange; called once, on a thread that runs the pool's io_context. */
using ExchangeCallback = std::function<void(ExchangeResult)>;

} // namespace Gateway
