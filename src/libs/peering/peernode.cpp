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

constexpr auto exchangePause = std::chrono::milliseconds(100);
constexpr auto callTimeout = std::chrono::milliseconds(900);
constexpr auto leaveTimeout = std::chrono::milliseconds(300);
constexpr auto connectBackoff = std::chrono::milliseconds(500);

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

// One asynchronous call with all that must live as long as it.
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

// Counts calls in flight so that the node is destroyed after the last of them.
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
            none_.notify_all();
    }

    void waitForNone()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        none_.wait(lock, [this] { return count_ == 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable none_;
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
        exchanges_.reset();
        if (server_)
            server_->Shutdown(std::chrono::system_clock::now() + leaveTimeout);
        calls_.waitForNone();
    }

    Utils::Status start();
    void leave();
    std::vector<Schema::BurnSamples> fetchBurn();
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
    using FetchCall = Call<Schema::FetchConfigurationRequest, Schema::AcceptedConfiguration>;

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const Schema::PeerView* request,
        Schema::PeerView* reply) override;
    grpc::ServerUnaryReactor* FetchConfiguration(grpc::CallbackServerContext* context,
        const Schema::FetchConfigurationRequest* request, Schema::AcceptedConfiguration* reply) override;
    grpc::ServerUnaryReactor* ExchangeCredits(grpc::CallbackServerContext* context,
        const Schema::CreditReports* request, Schema::CreditReports* reply) override;
    grpc::ServerUnaryReactor* FetchBurn(grpc::CallbackServerContext* context,
        const Schema::FetchBurnRequest* request, Schema::BurnSamples* reply) override;

    void exchangeDue();
    void exchange(const Membership::Exchange& exchange);
    void takeAnswer(const Schema::PeerView& answer);
    void fetchIfNewer(const Schema::Member& peer);
    void reportEvents();
    Stub stub(const std::string& address, std::uint32_t port);

    PeerHandlers handlers_;
    Schema::SecuritySettings security_;
    Schema::Member self_;
    std::shared_ptr<grpc::ChannelCredentials> credentials_;
    std::mt19937_64 random_ { std::random_device {}() };
    mutable std::mutex mutex_;
    std::optional<Membership::MemberTable> table_;
    std::mutex stubMutex_;
    std::map<std::string, Stub> stubs_;
    std::atomic<bool> fetching_ = false;
    CallCounter calls_;
    std::unique_ptr<grpc::Server> server_;
    std::optional<Daemon::PeriodicTask> exchanges_;
};

Utils::Status PeerNode::Private::start()
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    const std::string address = self_.address() + ":" + std::to_string(self_.port());
    builder.AddListeningPort(address, makeServerCredentials(security_), &port);
    builder.RegisterService(this);
    // Peers may call as soon as the server listens.
    const std::lock_guard<std::mutex> guard(mutex_);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0)
        return Utils::Error { Utils::ErrorCode::Unavailable, "peers.listen", address,
            "the address cannot be taken" };
    self_.set_port(static_cast<std::uint32_t>(port));
    table_.emplace(self_, Membership::MembershipOptions {}, random_, now());
    exchanges_.emplace(exchangePause, [this] { exchangeDue(); });
    return Utils::success();
}

void PeerNode::Private::exchangeDue()
{
    const auto due = withTable([](Membership::MemberTable& table) { return table.dueExchanges(now()); });
    for (const Membership::Exchange& one : due)
        exchange(one);
    reportEvents();
}

void PeerNode::Private::exchange(const Membership::Exchange& exchange)
{
    auto call = std::make_shared<ExchangeCall>(callTimeout);
    call->request = exchange.view;
    const Stub peer = stub(exchange.address, exchange.port);
    calls_.add();
    peer->async()->Exchange(
        &call->context, &call->request, &call->reply, [this, call, peer](const grpc::Status& status) {
            if (status.ok())
                takeAnswer(call->reply);
            calls_.remove();
        });
}

void PeerNode::Private::takeAnswer(const Schema::PeerView& answer)
{
    withTable([&answer](Membership::MemberTable& table) { table.handleReply(answer, now()); });
    fetchIfNewer(answer.sender());
    reportEvents();
}

// One fetch at a time: several peers tell of a new revision at once.
void PeerNode::Private::fetchIfNewer(const Schema::Member& peer)
{
    const std::uint64_t known = handlers_.configuration().revision();
    if (peer.configuration_revision() <= known || fetching_.exchange(true))
        return;
    auto call = std::make_shared<FetchCall>(callTimeout);
    call->request.set_known_revision(known);
    const Stub source = stub(peer.address(), peer.port());
    calls_.add();
    source->async()->FetchConfiguration(
        &call->context, &call->request, &call->reply, [this, call, source](const grpc::Status& status) {
            if (status.ok() && call->reply.revision() > 0)
                handlers_.offer(call->reply);
            fetching_ = false;
            calls_.remove();
        });
}

void PeerNode::Private::reportEvents()
{
    const auto events = withTable([](Membership::MemberTable& table) { return table.takeEvents(); });
    for (const Membership::MemberEvent& event : events) {
        Utils::log(Utils::LogLevel::Info, "member-changed",
            { { "member", event.member.name() },
                { "change", std::string(Membership::memberChangeName(event.change)) } });
        if (handlers_.changed)
            handlers_.changed(event);
    }
}

PeerNode::Private::Stub PeerNode::Private::stub(const std::string& address, std::uint32_t port)
{
    const std::string peer = address + ":" + std::to_string(port);
    const std::lock_guard<std::mutex> guard(stubMutex_);
    Stub& found = stubs_[peer];
    if (!found) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(connectBackoff.count()));
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(connectBackoff.count()));
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(connectBackoff.count()));
        // Service configurations are not looked up: peers are IP numbers.
        arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
        found = Schema::Peers::NewStub(grpc::CreateCustomChannel(peer, credentials_, arguments));
    }
    return found;
}

grpc::ServerUnaryReactor* PeerNode::Private::Exchange(
    grpc::CallbackServerContext* context, const Schema::PeerView* request, Schema::PeerView* reply)
{
    *reply = withTable(
        [request](Membership::MemberTable& table) { return table.handleExchange(*request, now()); });
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    fetchIfNewer(request->sender());
    return reactor;
}

grpc::ServerUnaryReactor* PeerNode::Private::FetchConfiguration(grpc::CallbackServerContext* context,
    const Schema::FetchConfigurationRequest* request, Schema::AcceptedConfiguration* reply)
{
    const Schema::AcceptedConfiguration mine = handlers_.configuration();
    if (mine.revision() > request->known_revision())
        *reply = mine;
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor* PeerNode::Private::FetchBurn(
    grpc::CallbackServerContext* context, const Schema::FetchBurnRequest* request, Schema::BurnSamples* reply)
{
    static_cast<void>(request);
    if (handlers_.burn)
        *reply = handlers_.burn();
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor* PeerNode::Private::ExchangeCredits(
    grpc::CallbackServerContext* context, const Schema::CreditReports* request, Schema::CreditReports* reply)
{
    if (handlers_.credits) {
        handlers_.creditsTold(*request, Utils::TimePoint::min());
        *reply = handlers_.credits();
    }
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

void PeerNode::Private::exchangeCredits()
{
    const auto members = withTable([](Membership::MemberTable& table) { return table.members(now()); });
    const Schema::CreditReports mine = handlers_.credits();
    for (const Schema::Member& member : members) {
        const bool gone = member.state() == Schema::MEMBER_DEAD || member.state() == Schema::MEMBER_LEFT;
        if (gone || member.role() != self_.role() || member.domain() != self_.domain()
            || member.name() == self_.name())
            continue;
        auto call = std::make_shared<CreditsCall>(callTimeout);
        call->request = mine;
        const Stub peer = stub(member.address(), member.port());
        const Utils::TimePoint sent = now();
        calls_.add();
        peer->async()->ExchangeCredits(&call->context, &call->request, &call->reply,
            [this, call, peer, sent](const grpc::Status& status) {
                if (status.ok())
                    handlers_.creditsTold(call->reply, sent);
                calls_.remove();
            });
    }
}

std::vector<Schema::BurnSamples> PeerNode::Private::fetchBurn()
{
    const auto members = withTable([](Membership::MemberTable& table) { return table.members(now()); });
    std::vector<Schema::BurnSamples> samples;
    for (const Schema::Member& member : members) {
        if (member.role() != "entry" || member.state() != Schema::MEMBER_ALIVE)
            continue;
        Call<Schema::FetchBurnRequest, Schema::BurnSamples> call(callTimeout);
        if (stub(member.address(), member.port())->FetchBurn(&call.context, call.request, &call.reply).ok())
            samples.push_back(std::move(call.reply));
    }
    return samples;
}

void PeerNode::Private::leave()
{
    exchanges_.reset();
    const auto farewells = withTable([](Membership::MemberTable& table) { return table.leave(now()); });
    for (const Membership::Exchange& one : farewells)
        exchange(one);
    calls_.waitForNone();
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

void PeerNode::setRevision(std::uint64_t revision)
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

std::vector<Schema::BurnSamples> PeerNode::fetchBurn()
{
    return d_->fetchBurn();
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
