#include "backendpool.h"

#include "backendconnection.h"

#include <boost/asio/detached.hpp>

#include <mutex>
#include <unordered_map>
#include <vector>

namespace Gateway {

namespace {

namespace Asio = boost::asio;
using Internal::BackendConnection;

} // namespace

class BackendPool::Private : public std::enable_shared_from_this<BackendPool::Private> {
public:
    explicit Private(Asio::io_context& context)
        : context_(context)
    {
    }

    void start(const BackendAddress& backend, Http::Request request, const ExchangeLimits& limits,
        BeforeSendCallback beforeSend, ExchangeCallback done);
    void closeIdle(const BackendAddress& backend);

private:
    using ConnectionPtr = std::shared_ptr<BackendConnection>;

    struct Exchange {
        BackendAddress backend;
        Http::Request request;
        ExchangeLimits limits;
        BeforeSendCallback beforeSend;
        ExchangeCallback done;
    };

    ExchangeResult run(
        ConnectionPtr connection, bool isOpen, const Exchange& exchange, const Asio::yield_context& yield);
    ConnectionPtr acquireIdle(const BackendAddress& backend, Utils::Duration maxIdle);
    void addIdle(const BackendAddress& backend, ConnectionPtr connection);

    Asio::io_context& context_;
    std::mutex mutex_;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
};

void BackendPool::Private::start(const BackendAddress& backend, Http::Request request,
    const ExchangeLimits& limits, BeforeSendCallback beforeSend, ExchangeCallback done)
{
    ConnectionPtr connection = acquireIdle(backend, limits.maxIdle);
    const bool isOpen = connection != nullptr;
    if (!isOpen)
        connection = std::make_shared<BackendConnection>(Asio::make_strand(context_));
    const auto strand = connection->strand();
    Exchange exchange { backend, std::move(request), limits, std::move(beforeSend), std::move(done) };
    Asio::spawn(
        strand,
        [self = shared_from_this(), connection, isOpen, exchange = std::move(exchange)](
            const Asio::yield_context& yield) {
            const auto startTime = std::chrono::steady_clock::now();
            ExchangeResult result = self->run(connection, isOpen, exchange, yield);
            result.error.peer = exchange.backend.toString();
            result.elapsed = std::chrono::steady_clock::now() - startTime;
            exchange.done(std::move(result));
        },
        Asio::detached);
}

ExchangeResult BackendPool::Private::run(
    ConnectionPtr connection, bool isOpen, const Exchange& exchange, const Asio::yield_context& yield)
{
    if (!isOpen) {
        const auto errorCode = connection->open(exchange.backend, exchange.limits, yield);
        if (errorCode) {
            return { ExchangePhase::NotSent, {},
                { Utils::ErrorCode::Unavailable, "backend.connect", {}, errorCode.message() }, {} };
        }
    }
    if (!exchange.beforeSend()) {
        addIdle(exchange.backend, std::move(connection));
        return { ExchangePhase::NotSent, {},
            { Utils::ErrorCode::Timeout, "backend.write", {}, "decided meanwhile" }, {} };
    }
    ExchangeResult result = connection->exchange(exchange.request, exchange.limits, yield);
    if (result.phase == ExchangePhase::Completed || result.phase == ExchangePhase::Refused)
        addIdle(exchange.backend, std::move(connection));
    return result;
}

BackendPool::Private::ConnectionPtr BackendPool::Private::acquireIdle(
    const BackendAddress& backend, Utils::Duration maxIdle)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    std::vector<ConnectionPtr>& idle = idle_[backend.toString()];
    while (!idle.empty()) {
        ConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isUsable(maxIdle))
            return connection;
    }
    return nullptr;
}

void BackendPool::Private::addIdle(const BackendAddress& backend, ConnectionPtr connection)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    idle_[backend.toString()].push_back(std::move(connection));
}

void BackendPool::Private::closeIdle(const BackendAddress& backend)
{
    std::vector<ConnectionPtr> closing;
    const std::lock_guard<std::mutex> guard(mutex_);
    idle_[backend.toString()].swap(closing);
}

BackendPool::BackendPool(Asio::io_context& context)
    : d_(std::make_shared<Private>(context))
{
}

BackendPool::~BackendPool() = default;

void BackendPool::exchange(const BackendAddress& backend, Http::Request request, const ExchangeLimits& limits,
    BeforeSendCallback beforeSend, ExchangeCallback done)
{
    d_->start(backend, std::move(request), limits, std::move(beforeSend), std::move(done));
}

void BackendPool::closeIdle(const BackendAddress& backend)
{
    d_->closeIdle(backend);
}

} // namespace Gateway
