#pragma once

#include <requests/requesttypes.h>

#include <optional>
#include <vector>

namespace FloodBench {

/*! How an attempt at a simulated backend server ended. */
enum class AttemptResult { Completed, Failed, Refused, Closed };

/*! Makes the decisions of one entry VM, which the simulation executes. */
class EntryPolicy {
public:
    virtual ~EntryPolicy() = default;

    /*! Handles a new request. */
    virtual void submit(const Requests::RequestDescription& description, Utils::TimePoint now) = 0;

    virtual void onAttemptEnded(Requests::AttemptId attempt, AttemptResult result, Utils::TimePoint now) = 0;

    /*! Handles everything that is due. */
    virtual void tick(Utils::TimePoint now) = 0;

    /*! \return when tick() should next be called. */
    virtual std::optional<Utils::TimePoint> nextWakeup() const = 0;

    /*! Moves the pending actions to the end of \a actions. */
    virtual void takeActions(std::vector<Requests::Action>& actions) = 0;
};

} // namespace FloodBench
