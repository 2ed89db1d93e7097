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

/*! A target of requests together with where it listens. */
struct BackendTarget {
    Requests::Backend backend;
    BackendAddress address;
    bool isEntry = false; //!< An entry VM of another domain.
};

/*! Limits of the request path. */
struct GatewayLimits {
    Utils::Duration connectTimeout = std::chrono::milliseconds(500);
    Utils::Duration progressTimeout = std::chrono::seconds(3);
    Utils::Duration maxIdle = std::chrono::seconds(20); //!< Of a connection for an idempotent request.
    Utils::Duration maxIdleNonIdempotent
        = std::chrono::seconds(1); //!< Of a connection for a request that must not run twice.
    std::uint64_t maxBodyBytes = 8U << 20U;
    bool requireCredits = false; //!< Backend servers get nothing before ServiceGateway::setCredits().
};

/*!
    The requests of one service: the decision core under its lock, the callers that wait, and the
    exchanges with backend servers. Safe for use from several threads.
*/
class ServiceDispatcher : public std::enable_shared_from_this<ServiceDispatcher> {
public:
    /*!
        \param context runs timers and exchanges.
        \param pool connections to backend servers.
        \param burn counts the requests for the burn report.
        \param parameters service and place.
        \param limits time limits.
    */
    ServiceDispatcher(boost::asio::io_context& context, BackendPool& pool, Telemetry::BurnCounter& burn,
        Requests::CoreParameters parameters, const GatewayLimits& limits);
    ~ServiceDispatcher();
    ServiceDispatcher(const ServiceDispatcher&) = delete;
    ServiceDispatcher& operator=(const ServiceDispatcher&) = delete;

    /*!
        Takes a request; the responder is called once it is decided.
        \param request the request as received.
        \param caller what it asks for.
        \param respond takes the answer.
    */
    void submit(Http::Request request, CallerRequest caller, Http::Responder respond);

    /*! Applies a policy. \param policy the document in force. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Replaces the targets. \param targets backend servers and entry VMs of other domains. */
    void setTargets(std::span<const BackendTarget> targets);

    /*! Sets this entry VM's credits. \param backend the name. \param slots how many. \param expiry when they
     * lapse. */
    void setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry);

    /*! \return counters for operators. */
    Requests::RequestCounters counters() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Gateway
