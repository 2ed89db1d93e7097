#pragma once

#include <peer.pb.h>
#include <policy.pb.h>

#include <functional>
#include <vector>

namespace Platform {
class TableService;
}

namespace Console {

/*! Where the console gets what it shows; the functions may block and are called on several threads. */
struct ConsoleSources {
    Platform::TableService& table;
    std::function<Schema::AcceptedConfiguration()> inForce; //!< In force in this process; revision 0 if none.
    std::function<std::vector<Schema::Member>()> members; //!< All members as known here.
    std::function<std::vector<Schema::BurnSamples>()> fetchBurn; //!< Samples of the entry daemons.
    std::function<void()> changeAccepted; //!< Called after a change was accepted through this process.
};

} // namespace Console
