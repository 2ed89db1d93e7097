#pragma once

#include "http/message.h"
#include "utils/clock.h"
#include "utils/error.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Gateway {

/*! How far one exchange with a backend server came. */
enum class ExchangePhase {
    NotSent, //!< No byte of the request reached the backend server.
    Refused, //!< The backend server said that it did not execute the request.
    Completed, //!< The whole answer arrived.
    Broken, //!< Bytes were sent, but no whole answer came back: it may have run.
};

/*! Result of one exchange. */
struct ExchangeResult {
    ExchangePhase phase = ExchangePhase::NotSent;
    Http::Response response; //!< Valid if Completed or Refused.
    Utils::Error error; //!< Valid if NotSent or Broken.
    Utils::Duration elapsed {};
};

/*! Where a backend server listens and how many connections it accepts from this process. */
struct BackendAddress {
    std::string address;
    std::uint16_t port = 0;

    /*! \return "address:port". */
    std::string toString() const { return address + ":" + std::to_string(port); }
};

/*! Time limits of one exchange. */
struct ExchangeLimits {
    Utils::TimePoint deadline; //!< The exchange ends by then.
    Utils::Duration connectTimeout {}; //!< Limit of opening a connection.
    Utils::Duration
        progressTimeout {}; //!< Limit without progress after the request is sent; zero: the deadline alone.
    Utils::Duration maxIdle {}; //!< A kept connection that was silent for longer is not used.
    std::uint64_t maxBodyBytes = 0; //!< A larger answer breaks the exchange.
};

/*! Called when the connection is open and before the first byte; false ends the exchange as NotSent. */
using BeforeSendCallback = std::function<bool()>;

/*! Takes the result of an exchange; called once, on a serving thread. */
using ExchangeCallback = std::function<void(ExchangeResult)>;

} // namespace Gateway
