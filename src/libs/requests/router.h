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

/*! How far a target is. */
enum class Distance { OwnDomain, SameRegion, OtherRegion };

/*! How an attempt at a target ended, as far as routing needs it. */
enum class AttemptEnd {
    Success,
    Failure, //!< A failure status, a broken exchange or a timeout.
    ConnectFailed, //!< No connection.
    Overloaded,
    Draining,
    Abandoned, //!< Ended by the caller; says nothing about the target.
};

/*! Budget of bytes towards another region. */
struct LinkBudget {
    std::string region;
    double bytesPerSecond = 0;
};

/*! What a request needs of a target. */
struct RouteQuery {
    std::string_view lastTarget; //!< Target of the attempt before; taken only if there is no other.
    std::size_t expectedBytes = 0;
    bool mayLeaveDomain = false;
};

/*!
    Chooses the target of each attempt and counts slots.

    Within a distance it takes the target with the least expected delay, from its recent latencies, its load
   and its failures. Ejected and leaving targets get nothing; one on trial gets one request at a time.
*/
class Router {
public:
    /*!
        \param domain own failure domain.
        \param region own region.
        \param seed of the random source for tied choices.
        \param requireCredits whether own backend servers get nothing before setCredits().
    */
    Router(std::string domain, std::string region, std::uint64_t seed, bool requiresCredits = false);

    /*! Replaces the targets. \param backends the targets. */
    void setBackends(std::span<const Backend> backends);

    /*!
        Sets the slots that may be used of a target.
        \param backend its name.
        \param slots number of slots.
        \param expiry when they lapse.
    */
    void setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry);

    /*! Sets the budgets towards other regions; a region without one is not limited. \param budgets the
     * budgets. */
    void setLinkBudgets(std::span<const LinkBudget> budgets);

    /*! \return slots of usable targets of the own domain. \param now the current time. */
    std::uint32_t capacity(Utils::TimePoint now) const;

    /*! \return true if a target of the own domain has a free slot. \param now the current time. */
    bool hasFreeSlot(Utils::TimePoint now) const;

    /*! \return true if any target at any distance could be used once it has a free slot. */
    bool hasUsableTarget(Utils::TimePoint now) const;

    /*!
        Chooses a target with a free slot.
        \param query what is needed.
        \param now the current time.
        \return name and distance; nothing if no slot is free.
    */
    std::optional<std::pair<std::string, Distance>> chooseTarget(
        const RouteQuery& query, Utils::TimePoint now);

    /*!
        Takes a slot of a target.
        \param backend its name.
        \param bytes of the request, for the link's budget.
        \param now the current time.
    */
    void acquireSlot(std::string_view backend, std::size_t expectedBytes, Utils::TimePoint now);

    /*!
        Learns from an attempt's end; the slot stays taken until release().
        \param backend the target.
        \param end how it ended.
        \param latency from begin() to the end.
        \param now the current time.
    */
    void recordAttempt(
        std::string_view backend, AttemptEnd end, Utils::Duration latency, Utils::TimePoint now);

    /*!
        Whether the credits under which a request was dispatched have not lapsed.
        \param backend the target.
        \param now the current time.
        \return false if nothing may be sent to it now.
    */
    bool hasValidCredits(std::string_view backend, Utils::TimePoint now) const;

    /*! Gives a slot back. \param backend the target. */
    void releaseSlot(std::string_view backend);

    /*!
        How long a request whose connection was closed may still occupy its slot.
        \param backend the target.
        \return an estimate from recent latencies.
    */
    Utils::Duration expectedResidualTime(std::string_view backend) const;

    /*! \return counters by target. \param now the current time. */
    std::map<std::string, BackendCounters> counters(Utils::TimePoint now) const;

private:
    struct Target {
        Backend backend;
        Distance distance = Distance::OwnDomain;
        bool isListed = true; // False if gone while attempts are open.
        std::uint32_t credits = 0;
        Utils::TimePoint creditExpiry = Utils::TimePoint::max();
        std::uint32_t running = 0;
        Utils::TimePoint pausedUntil {}; // Told by itself that it is leaving, or refused for overload.
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
