#pragma once

#include "actions.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Batch {

/*!
    One write at a time, each on the condition of the version that the one before left in the first row put.

    A lost answer is resolved by reading that row and comparing its write id; until then nothing follows. A
    write that did not land is sent again unchanged: its condition lets at most one copy take effect.
*/
class FencedWriter {
public:
    /*! State of the write. */
    enum class State {
        Idle, //!< No write is outstanding.
        Outstanding, //!< The outcome is not known yet.
        Lost, //!< Another writer changed the row; this writer is done for good.
    };

    /*!
        \param answerTimeout time after which an answer counts as lost.
        \param retryDelay time between two sends of a write or two reads.
    */
    FencedWriter(Utils::Duration answerTimeout, Utils::Duration retryDelay);

    /*!
        Starts a write; only while idle.
        \param request the write: its first put is the fencing row, with a condition on its version.
        \param expectedVersion that version.
        \param now the current time.
    */
    void start(Schema::CommitRequest request, std::uint64_t expectedVersion, Utils::TimePoint now);

    /*!
        Emits the next send or read when due.
        \param now the current time.
        \param nextReadId counter of read ids, raised when used.
        \param actions takes the action.
    */
    void poll(Utils::TimePoint now, std::uint64_t& nextReadId, Actions& actions);

    /*!
        Takes in the answer to a write.
        \param writeId id of the write answered.
        \param outcome how it ended.
        \param version of the rows if committed.
        \return true if this told that the outstanding write took effect.
    */
    bool onCommit(std::string_view writeId, CommitOutcome outcome, std::uint64_t version);

    /*!
        Takes in a row.
        \param id of the read.
        \param row the row, or nullptr.
        \return true if this told that the outstanding write took effect.
    */
    bool onRow(std::uint64_t id, const Schema::Row* row);

    /*! \return state of the write. */
    State state() const { return state_; }

    /*! \return version of the row after the latest write that took effect. */
    std::uint64_t version() const { return version_; }

    /*! \return when the latest write was first sent; a lease it renews counts from here. */
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
