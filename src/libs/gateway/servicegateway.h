#pragma once

#include "servicedispatcher.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Schema {
class BurnSamples;
class VmEntry;
} // namespace Schema

namespace Gateway {

class IdempotencyKeyStore;

/*! Name and location of an entry VM. */
struct EntryVmIdentity {
    std::string name;
    std::string domain;
    std::string region;
};

/*!
    Serves "/services/<service>/<path>" by passing each request to the dispatcher of its service.

    Thread-safe.
*/
class ServiceGateway {
public:
    /*!
        \param context runs timers and exchanges; must outlive the gateway.
        \param identity this entry VM.
        \param defaultDeadline for requests that do not specify one.
    */
    ServiceGateway(boost::asio::io_context& context, EntryVmIdentity identity, const GatewayLimits& limits,
        Utils::Duration defaultDeadline);
    ~ServiceGateway();
    ServiceGateway(const ServiceGateway&) = delete;
    ServiceGateway& operator=(const ServiceGateway&) = delete;

    /*! Handles a request; \a respond is called once, possibly later on another thread. */
    void handle(Http::Request request, Http::Responder respond);

    /*!
        Makes requests with an idempotency key claim it first; without this call keys are ignored.
        \param keyStore must outlive the gateway's requests.
    */
    void setIdempotencyKeyStore(IdempotencyKeyStore& keyStore);

    /*! Applies a policy; services that it no longer contains are removed. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Replaces the targets of all services according to the platform's VM list. */
    void setVms(std::span<const Schema::VmEntry* const> vms);

    /*! Returns the names of the services in the current policy. */
    std::vector<std::string> services() const;

    /*! Returns the backend servers of \a service in this VM's failure domain. */
    std::vector<Requests::Backend> localBackends(const std::string& service) const;

    /*! Sets the number of slots of \a backend that this entry VM may use until \a expiry. */
    void setCredits(
        const std::string& service, std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry);

    /*! Returns the counters of \a service; all zero if the service is unknown. */
    Requests::RequestCounters counters(const std::string& service) const;

    /*! Returns the samples counted for the burn report. */
    Schema::BurnSamples burnSamples() const;

    /*! Returns the metrics of all services in the Prometheus text format. */
    std::string metrics() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Gateway
