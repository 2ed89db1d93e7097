#pragma once

#include "requesttypes.h"

#include <deque>
#include <list>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Requests {

/*! Limits of one priority class. */
struct ClassRule {
    std::string name;
    std::uint32_t rank = 0; //!< 0 is the most urgent.
    double guaranteedShare
        = 0; //!< Share of the slots reserved for the class while it has waiting requests, 0 to 1.
    double ceilingShare = 1; //!< Maximum share of the slots, 0 to 1.
    Utils::Duration maxQueueTime = std::chrono::milliseconds(500); //!< Requests that wait longer expire.
};

/*! A request that waits for a slot. */
struct QueuedRequest {
    RequestId id = 0;
    std::size_t classIndex = 0; //!< From AdmissionQueue::classIndex().
    std::string caller;
    Utils::TimePoint enqueuedAt {};
    Utils::TimePoint deadline {};
};

/*!
    Decides which waiting request gets the next free slot, and which requests are rejected.

    A class below its guaranteed share goes first, so that a flood of another class cannot starve it.
    Otherwise the most urgent class below its ceiling goes first. Within a class, callers take turns. If a
    queue becomes too long to be served in time, the newest request of the caller with the most waiting
    requests is rejected.
*/
class AdmissionQueue {
public:
    /*! Result of push(). */
    struct PushResult {
        bool isAccepted = true;
        std::optional<RequestId> displacedRequest; //!< Another request that was removed to make space.
    };

    /*! \param rules the priority classes; at least one. */
    explicit AdmissionQueue(std::span<const ClassRule> rules);

    /*!
        Replaces the priority classes. Waiting requests of a removed class move to the least urgent class.
        \param rules the classes; at least one.
    */
    void setRules(std::span<const ClassRule> rules);

    /*! Sets the number of slots shared by the classes. */
    void setCapacity(std::uint32_t slots) { capacity_ = slots; }

    /*!
        \param fallback name to use if there is no class \p name.
        \return the index of a class; that of the least urgent class if neither name exists.
    */
    std::size_t classIndex(std::string_view name, std::string_view fallback) const;

    const std::string& className(std::size_t classIndex) const { return classes_[classIndex].rule.name; }

    std::size_t classCount() const { return classes_.size(); }

    /*!
        Adds a request, rejects it, or lets it displace another one. No request with the same id may be
        waiting.
    */
    PushResult push(QueuedRequest request, Utils::TimePoint now);

    /*!
        \return the request that should get the next free slot; nothing if no request waits or all classes
                with waiting requests are at their ceiling.
    */
    std::optional<QueuedRequest> peek(Utils::TimePoint now);

    /*!
        \return the first request in turn of the most urgent class with waiting requests; nothing if no
                request waits.
    */
    std::optional<QueuedRequest> peekMostUrgent() const;

    /*! Removes a request without giving it a slot. \return true if it was waiting. */
    bool remove(RequestId id);

    /*! Removes the waiting request \a id and counts a slot for its class. */
    void start(RequestId id, Utils::TimePoint now);

    /*!
        Returns a slot.
        \param classIndex class that held the slot.
        \param slotTime how long the slot was held; updates the average that limits the queue lengths.
    */
    void release(std::size_t classIndex, Utils::Duration slotTime, Utils::TimePoint now);

    /*!
        Removes all requests that reached the maximum queue time of their class or their deadline.
        \param[out] expired the removed requests are appended to this list.
    */
    void takeExpired(Utils::TimePoint now, std::vector<QueuedRequest>& expired);

    /*! \return when takeExpired() should next be called; nothing if no request waits. */
    std::optional<Utils::TimePoint> nextExpiry() const;

    /*! \return the number of waiting requests of a class. */
    std::size_t queuedCount(std::size_t classIndex) const { return classes_[classIndex].waitingCount; }

    /*! \return the number of slots held by a class. */
    std::uint32_t runningCount(std::size_t classIndex) const { return classes_[classIndex].runningCount; }

    /*! \return the number of waiting requests. */
    std::size_t size() const { return entries_.size(); }

private:
    struct CallerQueue {
        std::string caller;
        std::deque<RequestId> ids;
    };

    struct ClassState {
        ClassRule rule;
        std::list<CallerQueue> callerRotation; // The caller at the front is next.
        std::unordered_map<std::string, std::list<CallerQueue>::iterator> queueByCaller;
        std::size_t waitingCount = 0;
        std::uint32_t runningCount = 0;
        double owedSlotSeconds = 0; // Guaranteed slot time that the class has missed while requests waited;
                                    // negative if it got more.
        Utils::TimePoint owedUpdatedAt {};
    };

    Utils::TimePoint expiryOf(const QueuedRequest& request) const;
    std::size_t maxQueueLength(const ClassState& state) const;
    std::uint32_t ceilingSlots(const ClassState& state) const;
    void updateOwedSlotSeconds(ClassState& state, Utils::TimePoint now);
    bool isBelowGuarantee(const ClassState& state) const;
    std::optional<QueuedRequest> frontRequest(const ClassState& state) const;
    void insert(QueuedRequest request);
    std::size_t selectClass(Utils::TimePoint now);

    std::vector<ClassState> classes_; // Sorted by rank.
    std::unordered_map<RequestId, QueuedRequest> entries_;
    std::set<std::pair<Utils::TimePoint, RequestId>> expiries_;
    std::uint32_t capacity_ = 0;
    double meanSlotSeconds_ = 0; // Moving average of the time a slot is held.
};

} // namespace Requests
