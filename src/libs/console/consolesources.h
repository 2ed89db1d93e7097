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
        fetchBurn; //!< Samples collected from the entry daemons.
    std::function<void()> changeAccepted; //!< Called after this process got a change accepted.
};

} // namespace Console
