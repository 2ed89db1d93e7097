#include "client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace Http {

namespace {

namespace Asio = boost::asio;

// A request without a connection; the handler of its timer owns it as well.
struct QueuedRequest {
    QueuedRequest(
        Asio::io_context& context, Request&& queued, const TimeLimits& timeLimits, ResponseHandler&& receiver)
        : request(std::move(queued))
        , handler(std::move(receiver))
        , limits(timeLimits)
        , timer(context, timeLimits.start)
    {
    }

    Request request;
    ResponseHandler handler;
    TimeLimits limits; //!< From the time when the request was queued.
    Asio::steady_timer timer; //!< Expires after `limits.start`.
};

} // namespace

class Client::Private : public std::enable_shared_from_this<Client::Private> {
public:
    Private(Asio::io_context& context, Endpoint endpoint, std::size_t maxConnections,
        std::shared_ptr<const PeerCheck> check, ClientLimits limits)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , maxConnections_(maxConnections)
        , check_(std::move(check))
        , responseLimits_(std::move(limits))
    {
    }

    void send(Request request, const TimeLimits& limits, ResponseHandler handler)
    {
        const auto connection = queue_.empty() ? idleConnection() : nullptr;
        if (connection)
            return start(*connection, std::move(request), limits, std::move(handler));
        const auto queued
            = std::make_shared<QueuedRequest>(context_, std::move(request), limits, std::move(handler));
        queue_.push_back(queued);
        queued->timer.async_wait([weak = weak_from_this(), queued](boost::system::error_code errorCode) {
            const auto self = weak.lock();
            if (!errorCode && self)
                self->refuse(queued);
        });
        startQueuedRequests();
    }

    const Endpoint& endpoint() const { return endpoint_; }

    void clear()
    {
        for (const auto& queued : queue_)
            queued->timer.cancel();
        queue_.clear();
        connections_.clear();
    }

private:
    std::shared_ptr<ClientConnection> idleConnection()
    {
        for (const auto& connection : connections_) {
            if (!connection->isBusy())
                return connection;
        }
        if (connections_.size() >= maxConnections_)
            return nullptr;
        connections_.push_back(
            std::make_shared<ClientConnection>(context_, endpoint_, check_, responseLimits_));
        return connections_.back();
    }

    void start(
        ClientConnection& connection, Request&& request, const TimeLimits& limits, ResponseHandler&& handler)
    {
        connection.exchange(std::move(request), limits,
            [weak = weak_from_this(), handler = std::move(handler)](Utils::Result<Response> result) {
                const auto self = weak.lock();
                handler(std::move(result));
                if (self)
                    self->startQueuedRequests();
            });
    }

    // Starts the first requests that still have time left; the timers of the others are about to refuse them.
    void startQueuedRequests()
    {
        const auto now = Asio::steady_timer::clock_type::now();
        const auto isInTime
            = [now](const std::shared_ptr<QueuedRequest>& queued) { return queued->timer.expiry() > now; };
        for (;;) {
            const auto found = std::find_if(queue_.begin(), queue_.end(), isInTime);
            if (found == queue_.end())
                return;
            const auto connection = idleConnection();
            if (!connection)
                return;
            const auto queued = *found;
            queue_.erase(found);
            queued->timer.cancel();
            const Utils::Duration waited = queued->limits.start - (queued->timer.expiry() - now);
            start(*connection, std::move(queued->request), queued->limits.after(waited),
                std::move(queued->handler));
        }
    }

    // Ends a request that got no connection within its time limit, unless it has left the queue.
    void refuse(const std::shared_ptr<QueuedRequest>& queued)
    {
        const auto found = std::find(queue_.begin(), queue_.end(), queued);
        if (found == queue_.end())
            return;
        queue_.erase(found);
        queued->handler(Utils::Error { Utils::ErrorCode::Unavailable, "http.queue", endpoint_.toString(),
            "no connection available within the time limit" });
    }

    Asio::io_context& context_;
    Endpoint endpoint_;
    std::size_t maxConnections_;
    std::shared_ptr<const PeerCheck> check_;
    ClientLimits responseLimits_;
    std::vector<std::shared_ptr<ClientConnection>> connections_;
    std::deque<std::shared_ptr<QueuedRequest>> queue_;
};

Client::Client(boost::asio::io_context& context, Endpoint endpoint, std::size_t maxConnections,
    std::shared_ptr<const PeerCheck> check, ClientLimits limits)
    : d_(std::make_shared<Private>(
        context, std::move(endpoint), maxConnections, std::move(check), std::move(limits)))
{
}

Client::~Client()
{
    d_->clear();
}

void Client::send(Request request, const TimeLimits& limits, ResponseHandler handler)
{
    d_->send(std::move(request), limits, std::move(handler));
}

void Client::send(Request request, Utils::Duration timeout, ResponseHandler handler)
{
    d_->send(std::move(request), TimeLimits::total(timeout), std::move(handler));
}

const Endpoint& Client::endpoint() const
{
    return d_->endpoint();
}

} // namespace Http
