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

/*! Rights of one priority class. */
struct ClassRule {
    std::string name;
    std::uint32_t rank = 0; //!< 0 is the most urgent.
    double guaranteedShare = 0; //!< Share of the slots kept for it while it has work, 0 to 1.
    double ceilingShare = 1; //!< Greatest share of the slots it may take, 0 to 1.
    Utils::Duration maxQueueTime = std::chrono::milliseconds(500); //!< Longest stay in the queue.
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
    Decides which waiting request gets the next free slot, and which ones are refused.

    A class below its guaranteed share goes first, so that no flood extinguishes it; otherwise the most urgent
    class below its ceiling goes first. Within a class the callers take turns. A queue that would be too long
    to be served in time refuses the newest request of the caller who has most waiting.
*/
class AdmissionQueue {
public:
    /*! What became of a pushed request. */
    struct PushResult {
        bool isAccepted = true;
        std::optional<RequestId> displacedRequest; //!< Another request that had to leave for it.
    };

    /*! \param rules the classes; at least one. */
    explicit AdmissionQueue(std::span<const ClassRule> rules);

    /*!
        Replaces the classes; waiting requests of a class that is gone move to the least urgent one.
        \param rules the classes; at least one.
    */
    void setRules(std::span<const ClassRule> rules);

    /*! \param slots number of slots that are shared. */
    void setCapacity(std::uint32_t slots) { capacity_ = slots; }

    /*!
        Position of a class.
        \param name its name.
        \param fallback name to take if there is no such class.
        \return index; that of the least urgent class if neither name exists.
    */
    std::size_t classIndex(std::string_view name, std::string_view fallback) const;

    /*! \return name of a class by its index. */
    const std::string& className(std::size_t classIndex) const { return classes_[classIndex].rule.name; }

    /*! \return number of classes. */
    std::size_t classCount() const { return classes_.size(); }

    /*!
        Adds a request, or refuses it, or lets it take the place of another one.
        \param request the request; its id must not be waiting.
        \param now the current time.
        \return what became of it.
    */
    PushResult push(QueuedRequest request, Utils::TimePoint now);

    /*!
        The request that should get the next free slot.
        \param now the current time.
        \return it; nothing if none waits or all classes with work are at their ceiling.
    */
    std::optional<QueuedRequest> peek(Utils::TimePoint now);

    /*!
        The request that has waited longest in the most urgent class that has one.
        \return it; nothing if none waits.
    */
    std::optional<QueuedRequest> peekMostUrgent() const;

    /*! Takes a request out without a slot. \param id its id. \return true if it was waiting. */
    bool remove(RequestId id);

    /*!
        Takes a request out and counts a slot for its class.
        \param id its id; must be waiting.
        \param now the current time.
    */
    void start(RequestId id, Utils::TimePoint now);

    /*!
        Gives a slot back.
        \param classIndex class that held it.
        \param held how long it was held, for the estimate of service times.
        \param now the current time.
    */
    void release(std::size_t classIndex, Utils::Duration slotTime, Utils::TimePoint now);

    /*!
        Takes out all requests that waited too long or cannot meet their deadline.
        \param now the current time.
        \param expired receives them.
    */
    void takeExpired(Utils::TimePoint now, std::vector<QueuedRequest>& expired);

    /*! \return when expire() should next be called. */
    std::optional<Utils::TimePoint> nextExpiry() const;

    /*! \return number of waiting requests of a class. */
    std::size_t queuedCount(std::size_t classIndex) const { return classes_[classIndex].waitingCount; }

    /*! \return number of slots held by a class. */
    std::uint32_t runningCount(std::size_t classIndex) const { return classes_[classIndex].runningCount; }

    /*! \return number of waiting requests. */
    std::size_t size() const { return entries_.size(); }

private:
    struct CallerQueue {
        std::string caller;
        std::deque<RequestId> ids;
    };

    struct ClassState {
        ClassRule rule;
        std::list<CallerQueue> callerRotation; // The front caller is next.
        std::unordered_map<std::string, std::list<CallerQueue>::iterator> queueByCaller;
        std::size_t waitingCount = 0;
        std::uint32_t runningCount = 0;
        double owedSlotSeconds = 0; // Slot seconds owed to the class while it had work waiting.
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

    std::vector<ClassState> classes_; // By rank.
    std::unordered_map<RequestId, QueuedRequest> entries_;
    std::set<std::pair<Utils::TimePoint, RequestId>> expiries_;
    std::uint32_t capacity_ = 0;
    double meanSlotSeconds_ = 0; // Moving average of the time a slot is held.
};

} // namespace Requests
