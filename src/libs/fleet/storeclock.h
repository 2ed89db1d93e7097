#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Fleet {

/*!
    Bounds on the store's steady clock, derived from its latest answer.

    The store read its clock at some time between the send time of the call and the receipt of the answer. The
    bounds grow apart with time, because this node's clock may run up to 2% slower or faster than the store's.
*/
class StoreClock {
public:
    //! Longest time that a clock can show; an exact integer in any JSON number.
    static constexpr std::int64_t maxMs = std::int64_t(1) << 53;

    /*!
        Processes an answer.
        \param storeMs the store's clock in the answer; ignored if it is not a possible one, as 0.
        \param sentAt when the call was sent.
        \param receivedAt when the answer arrived.
    */
    void onAnswer(std::int64_t storeMs, Utils::TimePoint sentAt, Utils::TimePoint receivedAt)
    {
        if (storeMs <= 0 || storeMs > maxMs)
            return;
        storeMs_ = storeMs;
        sentAt_ = sentAt;
        receivedAt_ = receivedAt;
    }

    /*! \return whether an answer has stated the clock. */
    bool isKnown() const { return storeMs_ != 0; }

    /*! \return a time in ms that the store's clock has reached at \p now; 0 if the clock is not known. */
    std::int64_t earliestMs(Utils::TimePoint now) const
    {
        return storeMs_ + (isKnown() ? toMs((now - receivedAt_) * 50 / 51) : 0);
    }

    /*! \return a time in ms that the store's clock has not passed at \p now; 0 if the clock is not known. */
    std::int64_t latestMs(Utils::TimePoint now) const
    {
        return storeMs_ + (isKnown() ? toMs((now - sentAt_) * 51 / 50) + 1 : 0);
    }

private:
    static std::int64_t toMs(Utils::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    std::int64_t storeMs_ = 0;
    Utils::TimePoint sentAt_ {};
    Utils::TimePoint receivedAt_ {};
};

} // namespace Fleet
