#pragma once

#include "callerrequest.h"
#include "exchange.h"

#include "http/server.h"
#include "requests/requestcore.h"

#include <map>
#include <memory>
#include <span>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Schema {
class PolicyDocument;
}

namespace Telemetry {
class BurnCounter;
}

namespace Gateway {

class BackendPool;

/*! A target for requests, with its address. */
struct BackendTarget {
    Requests::Backend backend;
    BackendAddress address;
    bool isEntry = false; //!< An entry VM of another failure domain.
};

/*! Limits of the request path. */
struct GatewayLimits {
    Utils::Duration connectTimeout = std::chrono::milliseconds(500);
    Utils::Duration progressTimeout = std::chrono::seconds(3);
    Utils::Duration maxIdle = std::chrono::seconds(20); //!< For connections used by idempotent requests.
    Utils::Duration maxIdleNonIdempotent
        = std::chrono::seconds(1); //!< For connections used by requests that must not run twice.
    std::uint64_t maxBodyBytes = 8U << 20U;
    bool requireCredits = false; //!< If set, a backend server gets no requests until setCredits().
};

/*!
    Dispatches the requests of one service: guards the decision core with a lock, holds the waiting callers
    and runs the exchanges with backend servers. Thread-safe.
*/
class ServiceDispatcher : public std::enable_shared_from_this<ServiceDispatcher> {
public:
    /*!
        \param context runs timers and exchanges.
        \param burn counts the requests for the burn report.
    */
    ServiceDispatcher(boost::asio::io_context& context, BackendPool& pool, Telemetry::BurnCounter& burn,
        Requests::CoreParameters parameters, const GatewayLimits& limits);
    ~ServiceDispatcher();
    ServiceDispatcher(const ServiceDispatcher&) = delete;
    ServiceDispatcher& operator=(const ServiceDispatcher&) = delete;

    /*!
        Accepts a request. \a respond is called when the outcome is known, or the request is rejected.
        \param request the request as received.
        \param caller the parameters parsed from it.
    */
    void submit(Http::Request request, CallerRequest caller, Http::Responder respond);

    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Replaces the targets: backend servers, and entry VMs of other failure domains. */
    void setTargets(std::span<const BackendTarget> targets);

    /*! Sets the number of slots of \a backend that this entry VM may use until \a expiry. */
    void setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry);

    /*! Returns the counters shown to operators. */
    Requests::RequestCounters counters() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Gateway
