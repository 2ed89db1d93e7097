#pragma once

#include <requests/requesttypes.h>

#include <optional>
#include <vector>

namespace FloodBench {

/*! How an attempt at a simulated backend server ended. */
enum class AttemptResult { Completed, Failed, Refused, Closed };

/*! Decisions of one entry VM; the simulation carries them out. */
class EntryPolicy {
public:
    virtual ~EntryPolicy() = default;

    /*! A new request. \param description it. \param now the current time. */
    virtual void submit(const Requests::RequestDescription& description, Utils::TimePoint now) = 0;

    /*! An attempt ended. \param attempt its id. \param result how. \param now the current time. */
    virtual void onAttemptEnded(Requests::AttemptId attempt, AttemptResult result, Utils::TimePoint now) = 0;

    /*! Does what is due. \param now the current time. */
    virtual void tick(Utils::TimePoint now) = 0;

    /*! \return when tick() should next be called. */
    virtual std::optional<Utils::TimePoint> nextWakeup() const = 0;

    /*! Moves the pending actions out. \param actions receives them. */
    virtual void takeActions(std::vector<Requests::Action>& actions) = 0;
};

} // namespace FloodBench
