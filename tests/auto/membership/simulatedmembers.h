#pragma once

#include <membership/membertable.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Testing {

/*! Behavior of the simulated network. */
struct NetworkOptions {
    Utils::Duration localDelay = std::chrono::microseconds(500);
    Utils::Duration remoteDelay = std::chrono::milliseconds(12);
    double loss = 0; //!< Share of messages that are lost in each direction, 0 to 1.
};

/*! Member tables that exchange views over a simulated network in simulated time; repeatable by seed. */
class SimulatedMembers {
public:
    struct Node {
        std::string domain;
        std::unique_ptr<Membership::MemberTable> table; //!< Null while the process is dead.
        bool paused = false;
        Utils::TimePoint nextTick {};
        std::vector<Membership::MemberEvent> events; //!< All events since the start of the process.
        std::uint64_t sentBytes = 0;
        std::uint64_t sentMessages = 0;
    };

    SimulatedMembers(
        const Membership::MembershipOptions& options, const NetworkOptions& network, std::uint64_t seed);

    /*! Starts a process, or restarts it after a kill, with the addresses of all earlier ones as seeds. */
    void start(const std::string& name, const std::string& domain);
    void kill(const std::string& name);
    void leave(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);

    /*! Disconnects a domain from all others, or reconnects it. */
    void setDisconnected(const std::string& domain, bool isDisconnected);

    void advance(Utils::Duration duration);

    /*! \return names of the members that are in the given state in the viewer's table. */
    std::set<std::string> membersInState(const std::string& viewer, Schema::MemberState state) const;

    /*! \return number of events of one kind at the viewer. */
    std::size_t countEvents(const std::string& viewer, Membership::MemberChange change) const;

    /*! \return simulated time until the condition holds, checked every 100 ms; the limit if it never does. */
    Utils::Duration timeUntil(const std::function<bool()>& condition, Utils::Duration limit);

    std::map<std::string, Node> nodes;

private:
    struct Message {
        Utils::TimePoint deliverAt;
        std::uint64_t sequence = 0;
        std::string from;
        std::string to;
        Schema::PeerView view;
        bool isReply = false;

        bool operator>(const Message& other) const
        {
            return deliverAt != other.deliverAt ? deliverAt > other.deliverAt : sequence > other.sequence;
        }
    };

    void tick(const std::string& name, Node& node);
    void send(const std::string& from, const std::string& to, Schema::PeerView view, bool isReply);
    void deliver(const Message& message);
    bool areDisconnected(const std::string& from, const std::string& to) const;

    Membership::MembershipOptions options_;
    NetworkOptions network_;
    std::mt19937_64 random_;
    Utils::TimePoint now_ {};
    std::uint64_t messageCount_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::set<std::string> disconnectedDomains_;
    std::map<std::uint32_t, std::string> namesByPort_;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> messages_;
};

} // namespace Testing
