#pragma once

#include "utils/clock.h"

#include <batch.pb.h>
#include <platform.pb.h>

#include <optional>

namespace Batch {

/*! Greatest difference between the rates of two machines' clocks that leases allow for. */
constexpr double clockRateMargin = 0.02;

/*!
    Lengthens a duration that another machine measures.
    \param duration as measured there.
    \return a duration that has surely passed there once it has passed here.
*/
Utils::Duration withClockMargin(Utils::Duration duration);

/*!
    Watches a shard's row and tells when its owner's lease has surely lapsed: the same version was seen for
    the owner's lease and a margin, counted from when it was first seen.
*/
class ShardWatch {
public:
    /*!
        Takes in the row.
        \param row as read; version 0 if it does not exist.
        \param now the current time.
    */
    void observe(const Schema::Row& row, Utils::TimePoint now);

    /*! \return whether the shard may be taken over. \param now the current time. */
    bool canTakeOver(Utils::TimePoint now) const;

    /*! \return the row as last seen. */
    const Schema::ShardRow& shard() const { return shard_; }

    /*! \return its version. */
    std::uint64_t version() const { return version_; }

private:
    bool seen_ = false;
    std::uint64_t version_ = 0;
    Schema::ShardRow shard_;
    Utils::TimePoint versionSeenAt_;
};

} // namespace Batch
