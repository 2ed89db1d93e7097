#pragma once

#include "utils/clock.h"

#include <batch.pb.h>
#include <platform.pb.h>

#include <optional>

namespace Batch {

/*! Greatest relative difference between the rates of two machines' clocks that leases tolerate. */
constexpr double clockRateMargin = 0.02;

/*!
    Extends a duration by the clock margin.
    \param duration a duration measured by another machine's clock.
    \return a duration of the local clock after which \a duration has certainly passed on the other clock.
*/
Utils::Duration withClockMargin(Utils::Duration duration);

/*!
    Watches a shard's row and determines when its owner's lease has certainly lapsed: the row kept the same
    version for the duration of the lease plus a margin, counted from when that version was first read.
*/
class ShardWatch {
public:
    /*!
        Handles a read of the shard's row.
        \param row the row; its version is 0 if it does not exist.
    */
    void observe(const Schema::Row& row, Utils::TimePoint now);

    /*! \return whether the shard may be taken over: it has no owner or its owner's lease has lapsed. */
    bool canTakeOver(Utils::TimePoint now) const;

    /*! \return the content of the last row read. */
    const Schema::ShardRow& shard() const { return shard_; }

    /*! \return the version of the last row read; 0 if it does not exist. */
    std::uint64_t version() const { return version_; }

private:
    bool seen_ = false;
    std::uint64_t version_ = 0;
    Schema::ShardRow shard_;
    Utils::TimePoint versionSeenAt_;
};

} // namespace Batch
