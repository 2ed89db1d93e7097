#pragma once

#include "utils/clock.h"

#include <algorithm>
#include <string_view>

namespace Fleet {

/*! What granted the lease that a worker holds longest. */
enum class LeaseSource {
    FormerOwner, //!< An owner before this one, as far as its row or its answer tells.
    Start,
    Poll,
    Restart, //!< A call in the clock of a former incarnation.
};

/*! \return the name of a source for the log. */
constexpr std::string_view nameOf(LeaseSource source)
{
    constexpr std::string_view names[] = { "former-owner", "start", "poll", "restart" };
    return names[static_cast<std::size_t>(source)];
}

/*! Bound on a worker's lease, on the owner's clock. */
class WorkerLease {
public:
    /*! Sets the bound, which may become earlier. */
    void set(Utils::TimePoint end, LeaseSource source)
    {
        end_ = end;
        source_ = source;
    }

    /*! Notes a further grant; an earlier end changes nothing. */
    void extend(Utils::TimePoint end, LeaseSource source)
    {
        if (end > end_)
            set(end, source);
    }

    /*! Notes that the lease ends no later than \p end. */
    void limit(Utils::TimePoint end) { end_ = std::min(end_, end); }

    /*! \return the time after which the lease is certainly over unless it is renewed. */
    Utils::TimePoint end() const { return end_; }

    LeaseSource source() const { return source_; }

private:
    Utils::TimePoint end_ {};
    LeaseSource source_ = LeaseSource::FormerOwner;
};

} // namespace Fleet
