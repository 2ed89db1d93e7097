#include "fencedwriter.h"

#include <utility>

namespace Batch {

FencedWriter::FencedWriter(Utils::Duration answerTimeout, Utils::Duration retryDelay)
    : answerTimeout_(answerTimeout)
    , retryDelay_(retryDelay)
{
}

void FencedWriter::start(Schema::CommitRequest request, std::uint64_t expectedVersion, Utils::TimePoint now)
{
    request_ = std::move(request);
    expectedVersion_ = expectedVersion;
    state_ = State::Outstanding;
    step_ = Step::Send;
    firstSentAt_ = now;
    nextActionAt_ = now;
}

void FencedWriter::poll(Utils::TimePoint now, std::uint64_t& nextReadId, Actions& actions)
{
    if (state_ != State::Outstanding)
        return;
    const bool awaits = step_ == Step::AwaitAnswer || step_ == Step::AwaitRow;
    if (awaits && now - stepStartedAt_ >= answerTimeout_)
        step_ = Step::Read;
    else if (awaits || now < nextActionAt_)
        return;
    stepStartedAt_ = now;
    nextActionAt_ = now + retryDelay_;
    if (step_ == Step::Send) {
        actions.commits.push_back({ request_ });
        step_ = Step::AwaitAnswer;
        return;
    }
    readId_ = ++nextReadId;
    actions.reads.push_back({ request_.puts(0).key(), readId_ });
    step_ = Step::AwaitRow;
}

bool FencedWriter::onCommit(std::string_view writeId, CommitOutcome outcome, std::uint64_t version)
{
    if (state_ != State::Outstanding || writeId != request_.write_id())
        return false;
    if (outcome == CommitOutcome::Committed)
        return finish(version);
    if (step_ != Step::AwaitAnswer)
        return false;
    // This answer does not prove that the write had no effect: an earlier copy may have taken effect and
    // caused the conflict, or the answer may belong to an earlier copy. The fencing row shows the outcome.
    step_ = Step::Read;
    return false;
}

bool FencedWriter::onRow(std::uint64_t id, const Schema::Row* row)
{
    if (state_ != State::Outstanding || step_ != Step::AwaitRow || id != readId_)
        return false;
    if (row == nullptr) {
        step_ = Step::Read;
        return false;
    }
    if (row->version() != 0 && row->write_id() == request_.write_id())
        return finish(row->version());
    if (row->version() == expectedVersion_) {
        step_ = Step::Send;
        return false;
    }
    state_ = State::Lost;
    return false;
}

bool FencedWriter::finish(std::uint64_t version)
{
    version_ = version;
    state_ = State::Idle;
    return true;
}

} // namespace Batch
