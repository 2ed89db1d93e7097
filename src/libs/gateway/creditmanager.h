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
    Keeps this entry VM's slot credits of all services: reads the divisions, hears its peers, proposes
   changes.

    Safe for use from several threads; readTable() and apply() are each called on one thread.
*/
class CreditManager {
public:
    /*!
        \param gateway receives the credits.
        \param place name and domain of this entry VM.
        \param incarnation start of this process in microseconds of Unix time.
    */
    CreditManager(ServiceGateway& gateway, EntryVmIdentity identity, std::uint64_t incarnation);
    ~CreditManager();
    CreditManager(const CreditManager&) = delete;
    CreditManager& operator=(const CreditManager&) = delete;

    /*!
        Reads the divisions and proposes changes; waits for the table.
        \param table the platform's table.
    */
    void synchronize(Platform::TableService& table);

    /*! Gives the shares to the gateway. \return true if each service with backend servers here has slots. */
    bool applyShares();

    /*! \return this process's state, for peers. */
    Schema::CreditReports reports() const;

    /*!
        Takes a peer's state.
        \param reports the state.
        \param asked when this process asked for it; TimePoint::min() if it did not.
    */
    void handlePeerReports(const Schema::CreditReports& reports, Utils::TimePoint requestTime);

    /*! The platform's list was read. \param entryNames the entry VMs on it. */
    void handleVmList(const std::set<std::string>& entryNames);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Gateway
