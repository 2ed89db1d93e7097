#include "peernode.h"

#include "peercredentials.h"

#include "daemon/periodictask.h"
#include "membership/membertable.h"
#include "utils/log/log.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>
#include <settings.pb.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>

namespace Peering {

namespace {

constexpr auto exchangeInterval = std::chrono::milliseconds(100);
constexpr auto callTimeout = std::chrono::milliseconds(900);
constexpr auto shutdownTimeout = std::chrono::milliseconds(300);
constexpr auto connectBackoff = std::chrono::milliseconds(500);

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

// Context, request and reply of a call, which must outlive it.
template <typename Request, typename Reply> struct Call {
    grpc::ClientContext context;
    Request request;
    Reply reply;

    explicit Call(Utils::Duration timeout)
    {
        context.set_deadline(std::chrono::system_clock::now()
            + std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    }
};

// Counts calls in flight, so that the node is not destroyed before the last of them has ended.
class CallCounter {
public:
    void add()
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        ++count_;
    }

    void remove()
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        if (--count_ == 0)
            noCalls_.notify_all();
    }

    void waitUntilNone()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        noCalls_.wait(lock, [this] { return count_ == 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable noCalls_;
    int count_ = 0;
};

} // namespace

class PeerNode::Private final : public Schema::Peers::CallbackService {
public:
    Private(Schema::Member self, const Schema::SecuritySettings& security, PeerHandlers handlers)
        : handlers_(std::move(handlers))
        , security_(security)
        , self_(std::move(self))
        , credentials_(makeChannelCredentials(security))
    {
    }

    ~Private() override
    {
        exchangeTask_.reset();
        if (server_)
            server_->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
        pendingCalls_.waitUntilNone();
    }

    Utils::Status start();
    void leave();
    std::vector<Schema::BurnSamples> fetchBurnSamples();
    void exchangeCredits();

    template <typename Function> auto withTable(Function&& function)
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        return function(*table_);
    }

    std::uint32_t port() const { return self_.port(); }

private:
    using Stub = std::shared_ptr<Schema::Peers::Stub>;
    using ExchangeCall = Call<Schema::PeerView, Schema::PeerView>;
    using CreditsCall = Call<Schema::CreditReports, Schema::CreditReports>;
    using FetchConfigurationCall = Call<Schema::FetchConfigurationRequest, Schema::AcceptedConfiguration>;

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const Schema::PeerView* request,
        Schema::PeerView* reply) override;
    grpc::ServerUnaryReactor* FetchConfiguration(grpc::CallbackServerContext* context,
        const Schema::FetchConfigurationRequest* request, Schema::AcceptedConfiguration* reply) override;
    grpc::ServerUnaryReactor* ExchangeCredits(grpc::CallbackServerContext* context,
        const Schema::CreditReports* request, Schema::CreditReports* reply) override;
    grpc::ServerUnaryReactor* FetchBurn(grpc::CallbackServerContext* context,
        const Schema::FetchBurnRequest* request, Schema::BurnSamples* reply) override;

    void startDueExchanges();
    void startExchange(const Membership::Exchange& exchange);
    void handleReply(const Schema::PeerView& reply);
    void fetchNewerConfiguration(const Schema::Member& peer);
    void publishMemberEvents();
    Stub peerStub(const std::string& address, std::uint32_t port);

    PeerHandlers handlers_;
    Schema::SecuritySettings security_;
    Schema::Member self_;
    std::shared_ptr<grpc::ChannelCredentials> credentials_;
    std::mt19937_64 random_ { std::random_device {}() };
    mutable std::mutex mutex_;
    std::optional<Membership::MemberTable> table_;
    std::mutex stubMutex_;
    std::map<std::string, Stub> stubs_;
    std::atomic<bool> isFetchingConfiguration_ = false;
    CallCounter pendingCalls_;
    std::unique_ptr<grpc::Server> server_;
    std::optional<Daemon::PeriodicTask> exchangeTask_;
};

Utils::Status PeerNode::Private::start()
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    const std::string address = self_.address() + ":" + std::to_string(self_.port());
    builder.AddListeningPort(address, makeServerCredentials(security_), &port);
    builder.RegisterService(this);
    // Peers may call as soon as the server listens; the lock lets their calls wait for the member table.
    const std::lock_guard<std::mutex> guard(mutex_);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0)
        return Utils::Error { Utils::ErrorCode::Unavailable, "peers.listen", address,
            "the address cannot be taken" };
    self_.set_port(static_cast<std::uint32_t>(port));
    table_.emplace(self_, Membership::MembershipOptions {}, random_, now());
    exchangeTask_.emplace(exchangeInterval, [this] { startDueExchanges(); });
    return Utils::success();
}

void PeerNode::Private::startDueExchanges()
{
    const auto due = withTable([](Membership::MemberTable& table) { return table.dueExchanges(now()); });
    for (const Membership::Exchange& exchange : due)
        startExchange(exchange);
    publishMemberEvents();
}

void PeerNode::Private::startExchange(const Membership::Exchange& exchange)
{
    auto call = std::make_shared<ExchangeCall>(callTimeout);
    call->request = exchange.view;
    const Stub peer = peerStub(exchange.address, exchange.port);
    pendingCalls_.add();
    peer->async()->Exchange(
        &call->context, &call->request, &call->reply, [this, call, peer](const grpc::Status& status) {
            if (status.ok())
                handleReply(call->reply);
            pendingCalls_.remove();
        });
}

void PeerNode::Private::handleReply(const Schema::PeerView& reply)
{
    withTable([&reply](Membership::MemberTable& table) { table.handleReply(reply, now()); });
    fetchNewerConfiguration(reply.sender());
    publishMemberEvents();
}

// Only one fetch runs at a time, because several peers report a new revision at once.
void PeerNode::Private::fetchNewerConfiguration(const Schema::Member& peer)
{
    const std::uint64_t known = handlers_.currentConfiguration().revision();
    if (peer.configuration_revision() <= known || isFetchingConfiguration_.exchange(true))
        return;
    auto call = std::make_shared<FetchConfigurationCall>(callTimeout);
    call->request.set_known_revision(known);
    const Stub source = peerStub(peer.address(), peer.port());
    pendingCalls_.add();
    source->async()->FetchConfiguration(
        &call->context, &call->request, &call->reply, [this, call, source](const grpc::Status& status) {
            if (status.ok() && call->reply.revision() > 0)
                handlers_.configurationOffered(call->reply);
            isFetchingConfiguration_ = false;
            pendingCalls_.remove();
        });
}

void PeerNode::Private::publishMemberEvents()
{
    const auto events = withTable([](Membership::MemberTable& table) { return table.takeEvents(); });
    for (const Membership::MemberEvent& event : events) {
        Utils::log(Utils::LogLevel::Info, "member-changed",
            { { "member", event.member.name() },
                { "change", std::string(Membership::memberChangeName(event.change)) } });
        if (handlers_.memberChanged)
            handlers_.memberChanged(event);
    }
}

PeerNode::Private::Stub PeerNode::Private::peerStub(const std::string& address, std::uint32_t port)
{
    const std::string target = address + ":" + std::to_string(port);
    const std::lock_guard<std::mutex> guard(stubMutex_);
    Stub& stub = stubs_[target];
    if (!stub) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(connectBackoff.count()));
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(connectBackoff.count()));
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(connectBackoff.count()));
        // Peers are addressed by IP address, so there is no service configuration to look up.
        arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
        stub = Schema::Peers::NewStub(grpc::CreateCustomChannel(target, credentials_, arguments));
    }
    return stub;
}

grpc::ServerUnaryReactor* PeerNode::Private::Exchange(
    grpc::CallbackServerContext* context, const Schema::PeerView* request, Schema::PeerView* reply)
{
    *reply = withTable(
        [request](Membership::MemberTable& table) { return table.handleExchange(*request, now()); });
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    fetchNewerConfiguration(request->sender());
    return reactor;
}

grpc::ServerUnaryReactor* PeerNode::Private::FetchConfiguration(grpc::CallbackServerContext* context,
    const Schema::FetchConfigurationRequest* request, Schema::AcceptedConfiguration* reply)
{
    const Schema::AcceptedConfiguration ownConfiguration = handlers_.currentConfiguration();
    if (ownConfiguration.revision() > request->known_revision())
        *reply = ownConfiguration;
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor* PeerNode::Private::FetchBurn(
    grpc::CallbackServerContext* context, const Schema::FetchBurnRequest* request, Schema::BurnSamples* reply)
{
    static_cast<void>(request);
    if (handlers_.burnSamples)
        *reply = handlers_.burnSamples();
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor* PeerNode::Private::ExchangeCredits(
    grpc::CallbackServerContext* context, const Schema::CreditReports* request, Schema::CreditReports* reply)
{
    if (handlers_.creditReports) {
        handlers_.creditsReported(*request, Utils::TimePoint::min());
        *reply = handlers_.creditReports();
    }
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

void PeerNode::Private::exchangeCredits()
{
    const auto members = withTable([](Membership::MemberTable& table) { return table.members(now()); });
    const Schema::CreditReports ownReports = handlers_.creditReports();
    for (const Schema::Member& member : members) {
        const bool isInactive
            = member.state() == Schema::MEMBER_DEAD || member.state() == Schema::MEMBER_LEFT;
        if (isInactive || member.role() != self_.role() || member.domain() != self_.domain()
            || member.name() == self_.name())
            continue;
        auto call = std::make_shared<CreditsCall>(callTimeout);
        call->request = ownReports;
        const Stub peer = peerStub(member.address(), member.port());
        const Utils::TimePoint sentAt = now();
        pendingCalls_.add();
        peer->async()->ExchangeCredits(&call->context, &call->request, &call->reply,
            [this, call, peer, sentAt](const grpc::Status& status) {
                if (status.ok())
                    handlers_.creditsReported(call->reply, sentAt);
                pendingCalls_.remove();
            });
    }
}

std::vector<Schema::BurnSamples> PeerNode::Private::fetchBurnSamples()
{
    const auto members = withTable([](Membership::MemberTable& table) { return table.members(now()); });
    std::vector<Schema::BurnSamples> samples;
    for (const Schema::Member& member : members) {
        if (member.role() != "entry" || member.state() != Schema::MEMBER_ALIVE)
            continue;
        Call<Schema::FetchBurnRequest, Schema::BurnSamples> call(callTimeout);
        if (peerStub(member.address(), member.port())
                ->FetchBurn(&call.context, call.request, &call.reply)
                .ok())
            samples.push_back(std::move(call.reply));
    }
    return samples;
}

void PeerNode::Private::leave()
{
    exchangeTask_.reset();
    const auto exchanges = withTable([](Membership::MemberTable& table) { return table.leave(now()); });
    for (const Membership::Exchange& exchange : exchanges)
        startExchange(exchange);
    pendingCalls_.waitUntilNone();
}

PeerNode::PeerNode(Schema::Member self, const Schema::SecuritySettings& security, PeerHandlers handlers)
    : d_(std::make_unique<Private>(std::move(self), security, std::move(handlers)))
{
}

PeerNode::~PeerNode() = default;

Utils::Status PeerNode::start()
{
    return d_->start();
}

void PeerNode::addSeed(const std::string& address, std::uint32_t port)
{
    d_->withTable([&](Membership::MemberTable& table) { table.addSeed(address, port); });
}

void PeerNode::setConfigurationRevision(std::uint64_t revision)
{
    d_->withTable([revision](Membership::MemberTable& table) { table.setConfigurationRevision(revision); });
}

std::uint32_t PeerNode::port() const
{
    return d_->port();
}

std::vector<Schema::Member> PeerNode::members() const
{
    return d_->withTable([](Membership::MemberTable& table) { return table.members(now()); });
}

bool PeerNode::isAmongFirst(std::size_t count) const
{
    return d_->withTable([count](Membership::MemberTable& table) { return table.isAmongFirst(count); });
}

std::vector<Schema::BurnSamples> PeerNode::fetchBurnSamples()
{
    return d_->fetchBurnSamples();
}

void PeerNode::exchangeCredits()
{
    d_->exchangeCredits();
}

void PeerNode::leave()
{
    d_->leave();
}

} // namespace Peering
