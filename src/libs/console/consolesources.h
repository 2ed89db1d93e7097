#pragma once

#include <peer.pb.h>
#include <policy.pb.h>

#include <functional>
#include <vector>

namespace Platform {
class TableService;
}

namespace Console {

/*! Data sources of the console. The functions may block and are called on several threads. */
struct ConsoleSources {
    Platform::TableService& table;
    std::function<Schema::AcceptedConfiguration()>
        inForce; //!< The configuration in force in this process; revision 0 if none.
    std::function<std::vector<Schema::Member>()> members; //!< All members known to this process.
    std::function<std::vector<Schema::BurnSamples>()>
        fetchBurn; //!< Fetches the burn samples of the alive entry daemons; omits those that do not reply.
    std::function<void()> changeAccepted; //!< Called after a change submitted to this process was accepted.
};

} // namespace Console
