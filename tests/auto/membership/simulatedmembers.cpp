#include "simulatedmembers.h"

namespace Testing {

namespace {

constexpr Utils::Duration tickInterval = std::chrono::milliseconds(100);
constexpr char address[] = "127.0.0.1";

} // namespace

SimulatedMembers::SimulatedMembers(
    const Membership::MembershipOptions& options, const NetworkOptions& network, std::uint64_t seed)
    : options_(options)
    , network_(network)
    , random_(seed)
    // Far from the clock's epoch, as on a machine with a long uptime.
    , now_(std::chrono::hours(24))
{
}

void SimulatedMembers::start(const std::string& name, const std::string& domain)
{
    Schema::Member self;
    self.set_name(name);
    self.set_role("entry");
    self.set_region("region");
    self.set_domain(domain);
    self.set_address(address);
    self.set_incarnation(lastIncarnation_ += 1000000);
    std::uint32_t port = 0;
    for (const auto& [knownPort, knownName] : namesByPort_) {
        if (knownName == name)
            port = knownPort;
    }
    if (port == 0)
        port = static_cast<std::uint32_t>(namesByPort_.size() + 1);
    namesByPort_[port] = name;
    self.set_port(port);
    Node& node = nodes[name];
    node.domain = domain;
    node.paused = false;
    node.events.clear();
    node.table = std::make_unique<Membership::MemberTable>(self, options_, random_, now_);
    node.nextTick = now_
        + Utils::Duration(std::uniform_int_distribution<std::int64_t>(0, tickInterval.count())(random_));
    // All processes started so far, as the VM list would provide them.
    for (const auto& [knownPort, knownName] : namesByPort_)
        node.table->addSeed(address, knownPort);
}

void SimulatedMembers::kill(const std::string& name)
{
    nodes[name].table.reset();
}

void SimulatedMembers::leave(const std::string& name)
{
    for (Membership::Exchange& exchange : nodes[name].table->leave(now_))
        send(name, namesByPort_[exchange.port], std::move(exchange.view), false);
    kill(name);
}

void SimulatedMembers::pause(const std::string& name)
{
    nodes[name].paused = true;
}

void SimulatedMembers::resume(const std::string& name)
{
    nodes[name].paused = false;
    nodes[name].nextTick = now_;
}

void SimulatedMembers::setDisconnected(const std::string& domain, bool isDisconnected)
{
    if (isDisconnected)
        disconnectedDomains_.insert(domain);
    else
        disconnectedDomains_.erase(domain);
}

bool SimulatedMembers::areDisconnected(const std::string& from, const std::string& to) const
{
    const std::string& first = nodes.at(from).domain;
    const std::string& second = nodes.at(to).domain;
    return first != second && (disconnectedDomains_.contains(first) || disconnectedDomains_.contains(second));
}

void SimulatedMembers::send(
    const std::string& from, const std::string& to, Schema::PeerView view, bool isReply)
{
    Node& sender = nodes[from];
    sender.sentBytes += view.ByteSizeLong();
    ++sender.sentMessages;
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(random_) < network_.loss;
    if (isLost || !nodes.contains(to) || areDisconnected(from, to))
        return;
    const bool isLocal = sender.domain == nodes.at(to).domain;
    const Utils::Duration delay = isLocal ? network_.localDelay : network_.remoteDelay;
    messages_.push({ now_ + delay, ++messageCount_, from, to, std::move(view), isReply });
}

void SimulatedMembers::deliver(const Message& message)
{
    Node& node = nodes.at(message.to);
    if (!node.table || node.paused)
        return;
    if (message.isReply)
        node.table->handleReply(message.view, now_);
    else
        send(message.to, message.from, node.table->handleExchange(message.view, now_), true);
}

void SimulatedMembers::tick(const std::string& name, Node& node)
{
    for (Membership::Exchange& exchange : node.table->dueExchanges(now_))
        send(name, namesByPort_[exchange.port], std::move(exchange.view), false);
    for (Membership::MemberEvent& event : node.table->takeEvents())
        node.events.push_back(std::move(event));
    node.nextTick = now_ + tickInterval;
}

void SimulatedMembers::advance(Utils::Duration duration)
{
    const Utils::TimePoint end = now_ + duration;
    while (true) {
        Utils::TimePoint next = end;
        for (const auto& [name, node] : nodes) {
            if (node.table && !node.paused)
                next = std::min(next, node.nextTick);
        }
        if (!messages_.empty() && messages_.top().deliverAt <= next) {
            const Message message = messages_.top();
            messages_.pop();
            now_ = message.deliverAt;
            deliver(message);
            continue;
        }
        now_ = next;
        for (auto& [name, node] : nodes) {
            if (node.table && !node.paused && node.nextTick <= now_)
                tick(name, node);
        }
        if (now_ >= end)
            return;
    }
}

std::set<std::string> SimulatedMembers::membersInState(
    const std::string& viewer, Schema::MemberState state) const
{
    std::set<std::string> names;
    for (const Schema::Member& member : nodes.at(viewer).table->members(now_)) {
        if (member.state() == state)
            names.insert(member.name());
    }
    return names;
}

std::size_t SimulatedMembers::countEvents(const std::string& viewer, Membership::MemberChange change) const
{
    std::size_t number = 0;
    for (const Membership::MemberEvent& event : nodes.at(viewer).events)
        number += event.change == change ? 1 : 0;
    return number;
}

Utils::Duration SimulatedMembers::timeUntil(const std::function<bool()>& condition, Utils::Duration limit)
{
    Utils::Duration elapsed {};
    while (elapsed < limit && !condition()) {
        advance(tickInterval);
        elapsed += tickInterval;
    }
    return elapsed;
}

} // namespace Testing
