#pragma once

#include "nodecontext.h"
#include "timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace FleetNode {

/*!
    Keeps a copy of a table's rows with an empty partition.

    A table that changes seldom is read once and its changes are followed. A table whose rows change all the
   time is read again and again: its changes may come faster than they can be followed, and the copy would
   fall behind.
*/
class TableWatcher {
public:
    /*! How the copy is kept current. */
    enum class Mode {
        Follow,
        Poll,
    };

    using Rows = std::map<std::string, Ports::Row>; //!< By key.

    /*!
        \param context what the node shares.
        \param table the table.
        \param mode how the copy is kept current.
        \param pause after a change, so that changes that come together cost one call, or between two reads.
        \param onChange called with all rows after each change.
    */
    TableWatcher(NodeContext& context, std::string table, Mode mode, Utils::Duration pause,
        std::function<void(const Rows&)> onChange);

    /*! Starts to watch. */
    void start();

    /*! \param pause between two reads from the next one on. */
    void setPause(Utils::Duration pause) { pause_ = pause; }

    /*! Ends the pause between two reads of a polled table. */
    void pollNow();

    /*! \return when the rows were last known to be current; the epoch of the clock if never. */
    Utils::TimePoint currentAt() const { return currentAt_; }

private:
    void readAll(const std::string& from);
    void follow();
    void onPage(const Utils::Result<Ports::RowPage>& result);
    void onChanges(const Utils::Result<Ports::RowPage>& result);
    void onReadFailed(const Utils::Error& error);
    void onReadSucceeded();

    NodeContext& context_;
    std::string table_;
    Mode mode_;
    Utils::Duration pause_;
    std::function<void(const Rows&)> onChange_;
    Rows rows_;
    Rows partialCopy_; //!< Pages read so far of a new copy.
    std::uint64_t version_ = 0;
    Utils::TimePoint currentAt_ {};
    bool isFailing_ = false;
    Timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
