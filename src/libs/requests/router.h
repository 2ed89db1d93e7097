#pragma once

#include "outlierdetector.h"
#include "requestcounters.h"
#include "requesttypes.h"
#include "tokenbucket.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Requests {

enum class Distance { OwnDomain, SameRegion, OtherRegion };

/*! How an attempt at a target ended, as far as routing is concerned. */
enum class AttemptEnd {
    Success,
    Failure, //!< A failure status, an interrupted exchange or a timeout.
    ConnectFailed, //!< No connection was established.
    Overloaded,
    Draining,
    Abandoned, //!< The request was decided or the credits expired; says nothing about the target.
};

/*! Limit of the traffic to another region. */
struct LinkBudget {
    std::string region;
    double bytesPerSecond = 0;
};

/*! Requirements of a request on its target. */
struct RouteQuery {
    std::string_view lastTarget; //!< Target of the previous attempt; chosen only if there is no other.
    std::size_t expectedBytes = 0;
    bool mayLeaveDomain = false;
};

/*!
    Chooses the target of each attempt and counts its slots.

    Among the targets at the same distance it chooses the one with the lowest expected delay, which depends on
    recent latencies, load and failures. Ejected and draining targets get no requests; one on trial gets one
    request at a time.
*/
class Router {
public:
    /*!
        \param domain own failure domain.
        \param region own region.
        \param seed seed of the random source for ties.
        \param requiresCredits whether backend servers of the own domain get no requests before setCredits().
    */
    Router(std::string domain, std::string region, std::uint64_t seed, bool requiresCredits = false);

    void setBackends(std::span<const Backend> backends);

    /*!
        Sets the number of slots of a target that may be used.
        \param expiry when the credits expire.
    */
    void setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry);

    /*! Sets the budgets of links to other regions. Links to regions without a budget are not limited. */
    void setLinkBudgets(std::span<const LinkBudget> budgets);

    /*! \return the number of slots of the usable targets in the own domain. */
    std::uint32_t capacity(Utils::TimePoint now) const;

    /*! \return true if a target in the own domain has a free slot. */
    bool hasFreeSlot(Utils::TimePoint now) const;

    /*! \return true if any target at any distance can be used once it has a free slot. */
    bool hasUsableTarget(Utils::TimePoint now) const;

    /*! \return name and distance of a target with a free slot; nothing if there is none. */
    std::optional<std::pair<std::string, Distance>> chooseTarget(
        const RouteQuery& query, Utils::TimePoint now);

    /*!
        Takes a slot of a target.
        \param expectedBytes size of request and answer, for the link's budget.
    */
    void acquireSlot(std::string_view backend, std::size_t expectedBytes, Utils::TimePoint now);

    /*!
        Updates the statistics of a target with the end of an attempt. The slot stays taken until
        releaseSlot().
        \param latency time from acquireSlot() to the end.
    */
    void recordAttempt(
        std::string_view backend, AttemptEnd end, Utils::Duration latency, Utils::TimePoint now);

    /*! \return true if the credits for a target have not expired; otherwise nothing may be sent to it now. */
    bool hasValidCredits(std::string_view backend, Utils::TimePoint now) const;

    void releaseSlot(std::string_view backend);

    /*!
        \return how long a request whose connection was closed may still occupy its slot, as estimated from
                recent latencies.
    */
    Utils::Duration expectedResidualTime(std::string_view backend) const;

    /*! \return the counters by name of the target. */
    std::map<std::string, BackendCounters> counters(Utils::TimePoint now) const;

private:
    struct Target {
        Backend backend;
        Distance distance = Distance::OwnDomain;
        bool isListed = true; // False if the target was removed while attempts are open.
        std::uint32_t credits = 0;
        Utils::TimePoint creditExpiry = Utils::TimePoint::max();
        std::uint32_t running = 0;
        Utils::TimePoint pausedUntil {}; // Set when the target reports that it is draining or overloaded.
        double latencySeconds = 0;
        OutlierDetector detector;
        BackendCounters counters;
    };
    using Targets = std::map<std::string, Target, std::less<>>;

    Distance distanceOf(const Backend& backend) const;
    bool isUsable(const Target& target, Utils::TimePoint now) const;
    std::uint32_t usableSlots(const Target& target, Utils::TimePoint now) const;
    bool isAvailable(const Target& target, Utils::TimePoint now) const;
    bool mayEject(const Target& target, Utils::TimePoint now) const;
    bool isWithinLinkBudget(const Target& target, std::size_t expectedBytes, Utils::TimePoint now);
    double expectedCost(const Target& target);
    const Target* cheapestTarget(
        const RouteQuery& query, Distance distance, bool avoidsLastTarget, Utils::TimePoint now);

    std::string domain_;
    std::string region_;
    std::mt19937_64 random_;
    bool requiresCredits_ = false;
    Targets targets_;
    std::map<std::string, TokenBucket, std::less<>> linkBuckets_;
    double meanLatencySeconds_ = 0;
};

} // namespace Requests
