#pragma once

#include "nodecontext.h"
#include "timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace FleetNode {

/*!
    Maintains a copy of the rows in a table's unnamed partition.

    A table that seldom changes is read once and then followed. A table whose rows change all the time is read
    periodically instead, because its changes could arrive faster than they can be followed, so that the copy
    would fall behind.

    A failed call is repeated after a pause that grows with each further failure and then differs between
    nodes, so that the nodes do not keep up an overload that made the call fail.
*/
class TableWatcher {
public:
    /*! How the copy is kept up to date. */
    enum class Mode {
        Follow,
        Poll,
    };

    using Rows = std::map<std::string, Ports::Row>; //!< By key.

    /*!
        \param pause delay between two reads in Poll mode, or after a change in Follow mode, where it lets a
               single call fetch changes in quick succession.
        \param onChange called with all rows after each read or change.
    */
    TableWatcher(NodeContext& context, std::string table, Mode mode, Utils::Duration pause,
        std::function<void(const Rows&)> onChange);

    /*! Starts watching the table. */
    void start();

    /*! Sets the pause that follows the next read of a polled table; empty: it is read by pollNow() only. */
    void setPause(std::optional<Utils::Duration> pause) { pause_ = pause; }

    /*! Reads a polled table immediately unless a read is already in progress. */
    void pollNow();

    /*! \return when the read that the copy is from was started; the clock's epoch if there is none. */
    Utils::TimePoint readStartedAt() const { return copyReadStartedAt_; }

    /*!
        \return when the copy was last known to be up to date, by when calls were sent and not by when their
            answers were handled: a process may be paused in between. The clock's epoch if never.
    */
    Utils::TimePoint currentAt() const { return currentAt_; }

private:
    void readAll(const std::string& from);
    void follow();
    void onPage(const std::string& from, const Utils::Result<Ports::RowPage>& result);
    void restart(const Utils::Error& error);
    void onChanges(const Utils::Result<Ports::RowPage>& result);
    void onReadFailed(const Utils::Error& error);
    void onReadSucceeded(Utils::TimePoint currentAt);
    void recordRead(const Ports::RowPage& page, Utils::Duration expected);
    Utils::Duration nextRetryPause();

    NodeContext& context_;
    std::string table_;
    Mode mode_;
    std::optional<Utils::Duration> pause_;
    std::function<void(const Rows&)> onChange_;
    Rows rows_;
    Rows partialCopy_; //!< Pages of a new copy that have been read so far.
    std::uint64_t version_ = 0;
    Utils::TimePoint currentAt_ {};
    Utils::TimePoint callSentAt_ {}; //!< Of the call in progress.
    Utils::Duration callWait_ {}; //!< Time for which that call waits for a change.
    Utils::TimePoint lastLoggedAt_ {}; //!< When a long or large read was last logged.
    Utils::TimePoint readStartedAt_ {}; //!< Start of the latest read of the whole table.
    Utils::TimePoint copyReadStartedAt_ {}; //!< Start of the read that rows_ was last replaced by.
    bool isReading_ = false; //!< A read of the whole table is in progress.
    bool isFailing_ = false;
    Utils::Duration retryPause_ {}; //!< Longest pause after the latest failure; 0 after a success.
    std::mt19937_64 random_ { std::random_device {}() };
    Timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
