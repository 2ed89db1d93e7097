#pragma once

#include "actions.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Batch {

/*!
    Writes to the table one at a time. Each write is conditional on the version that the previous write gave
    to the fencing row, so it fails once another process has written that row.

    If an answer is lost, the fencing row is read and its write id compared with that of the write; no other
    write starts until the outcome is known. A write that had no effect is sent again unchanged: its condition
    ensures that at most one copy takes effect.
*/
class FencedWriter {
public:
    /*! State of the write. */
    enum class State {
        Idle, //!< No write is outstanding.
        Outstanding, //!< The outcome is not known yet.
        Lost, //!< Another writer changed the fencing row; this writer cannot be used any more.
    };

    /*!
        \param answerTimeout time after which a missing answer counts as lost.
        \param retryDelay least time between two sends or two reads.
    */
    FencedWriter(Utils::Duration answerTimeout, Utils::Duration retryDelay);

    /*!
        Starts a write. May only be called while the state is Idle.
        \param request the write. Its first put must be the fencing row, and one of its conditions must
               state the version of that row.
        \param expectedVersion the version of the fencing row in that condition.
    */
    void start(Schema::CommitRequest request, std::uint64_t expectedVersion, Utils::TimePoint now);

    /*!
        Requests the next send or read when it is due.
        \param nextReadId counter of read ids, incremented for each read.
        \param actions receives the action.
    */
    void poll(Utils::TimePoint now, std::uint64_t& nextReadId, Actions& actions);

    /*!
        Handles the answer to a write.
        \param writeId id of the answered write; answers to other writes are ignored.
        \param version version of the written rows if the write was committed.
        \return true if the outstanding write is now known to have taken effect.
    */
    bool onCommit(std::string_view writeId, CommitOutcome outcome, std::uint64_t version);

    /*!
        Handles the answer to a read.
        \param id id of the ReadAction; answers to other reads are ignored.
        \param row the row, or nullptr if it could not be read.
        \return true if the outstanding write is now known to have taken effect.
    */
    bool onRow(std::uint64_t id, const Schema::Row* row);

    State state() const { return state_; }

    /*! \return version of the fencing row after the latest write that took effect. */
    std::uint64_t version() const { return version_; }

    /*! \return when the latest write was first sent; a lease that it renews starts at this time. */
    Utils::TimePoint firstSentAt() const { return firstSentAt_; }

private:
    enum class Step {
        Send,
        AwaitAnswer,
        Read,
        AwaitRow,
    };

    bool finish(std::uint64_t version);

    Utils::Duration answerTimeout_;
    Utils::Duration retryDelay_;
    State state_ = State::Idle;
    Step step_ = Step::Send;
    Schema::CommitRequest request_;
    std::uint64_t expectedVersion_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t readId_ = 0;
    Utils::TimePoint firstSentAt_;
    Utils::TimePoint stepStartedAt_;
    Utils::TimePoint nextActionAt_;
};

} // namespace Batch
