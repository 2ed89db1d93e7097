#pragma once

#include "servicegateway.h"

#include "requests/creditholder.h"

#include <requests.pb.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Platform {
class TableService;
}

namespace Gateway {

/*!
    Manages this entry VM's slot credits for all services: reads the divisions from the table, processes the
    reports of peers and proposes new divisions.

    Thread-safe, except that synchronize() and applyShares() must not run concurrently with themselves.
*/
class CreditManager {
public:
    /*!
        \param gateway receives the credits.
        \param identity this entry VM.
        \param incarnation start time of this process in microseconds since the Unix epoch.
    */
    CreditManager(ServiceGateway& gateway, EntryVmIdentity identity, std::uint64_t incarnation);
    ~CreditManager();
    CreditManager(const CreditManager&) = delete;
    CreditManager& operator=(const CreditManager&) = delete;

    /*! Reads the divisions from \a table and proposes changes; blocks on the table. */
    void synchronize(Platform::TableService& table);

    /*!
        Passes the current shares to the gateway.
        \return true if every service with backend servers in this failure domain has slots.
    */
    bool applyShares();

    /*! Returns the credit reports of this process, one per service, to send to its peers. */
    Schema::CreditReports reports() const;

    /*!
        Processes the credit reports of a peer.
        \param requestTime when this process requested them; TimePoint::min() if they came unrequested.
    */
    void handlePeerReports(const Schema::CreditReports& reports, Utils::TimePoint requestTime);

    /*!
        Marks members as removed that are unresponsive and have been missing from the VM list for some time.
        \param entryNames the entry VMs on the platform's VM list.
    */
    void handleVmList(const std::set<std::string>& entryNames);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Gateway
