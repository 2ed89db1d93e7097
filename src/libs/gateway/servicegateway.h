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

/*! Where an entry VM stands. */
struct EntryVmIdentity {
    std::string name;
    std::string domain;
    std::string region;
};

/*!
    Serves "/services/<service>/<path>": finds the service's shard and gives it the request.

    Safe for use from several threads.
*/
class ServiceGateway {
public:
    /*!
        \param context runs timers and exchanges; must outlive the gateway.
        \param place name, domain and region of this entry VM.
        \param limits time limits and sizes.
        \param defaultDeadline of requests that name none.
    */
    ServiceGateway(boost::asio::io_context& context, EntryVmIdentity identity, const GatewayLimits& limits,
        Utils::Duration defaultDeadline);
    ~ServiceGateway();
    ServiceGateway(const ServiceGateway&) = delete;
    ServiceGateway& operator=(const ServiceGateway&) = delete;

    /*!
        Handles one request.
        \param request the request as received.
        \param respond takes the answer.
    */
    void handle(Http::Request request, Http::Responder respond);

    /*!
        Lets requests with an idempotency key claim it first; without this call keys are ignored.
        \param ledger claims and outcomes; must outlive the gateway's requests.
    */
    void setIdempotencyKeyStore(IdempotencyKeyStore& keyStore);

    /*! Applies a policy. \param policy the document in force. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Applies the VM list. \param vms the VMs as the platform knows them. */
    void setVms(std::span<const Schema::VmEntry* const> vms);

    /*! \return names of the services in force. */
    std::vector<std::string> services() const;

    /*! \return backend servers of a service in the own domain. \param service its name. */
    std::vector<Requests::Backend> localBackends(const std::string& service) const;

    /*!
        Sets how many slots of a backend server this entry VM may use.
        \param service name of the service.
        \param backend name of the backend server.
        \param slots how many.
        \param expiry when they lapse.
    */
    void setCredits(
        const std::string& service, std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry);

    /*! \return counters of a service. \param service its name. */
    Requests::RequestCounters counters(const std::string& service) const;

    /*! \return what was counted for the burn report. */
    Schema::BurnSamples burnSamples() const;

    /*! \return the metrics of all services as Prometheus text. */
    std::string metrics() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Gateway
