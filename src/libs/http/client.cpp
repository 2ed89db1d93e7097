#include "client.h"

#include <deque>
#include <vector>

namespace Http {

class Client::Private : public std::enable_shared_from_this<Client::Private> {
public:
    Private(boost::asio::io_context& context, Endpoint endpoint, std::size_t maxConnections)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , maxConnections_(maxConnections)
    {
    }

    void send(Request request, Utils::Duration timeout, ResponseHandler handler)
    {
        queue_.push_back({ std::move(request), timeout, std::move(handler) });
        startQueuedRequests();
    }

    const Endpoint& endpoint() const { return endpoint_; }

    void clear()
    {
        queue_.clear();
        connections_.clear();
    }

private:
    struct QueuedRequest {
        Request request;
        Utils::Duration timeout;
        ResponseHandler handler;
    };

    std::shared_ptr<ClientConnection> idleConnection()
    {
        for (const auto& connection : connections_) {
            if (!connection->isBusy())
                return connection;
        }
        if (connections_.size() >= maxConnections_)
            return nullptr;
        connections_.push_back(std::make_shared<ClientConnection>(context_, endpoint_));
        return connections_.back();
    }

    void startQueuedRequests()
    {
        while (!queue_.empty()) {
            const auto connection = idleConnection();
            if (!connection)
                return;
            QueuedRequest queuedRequest = std::move(queue_.front());
            queue_.pop_front();
            connection->exchange(std::move(queuedRequest.request), queuedRequest.timeout,
                [weak = weak_from_this(), handler = std::move(queuedRequest.handler)](
                    Utils::Result<Response> result) {
                    const auto self = weak.lock();
                    handler(std::move(result));
                    if (self)
                        self->startQueuedRequests();
                });
        }
    }

    boost::asio::io_context& context_;
    Endpoint endpoint_;
    std::size_t maxConnections_;
    std::vector<std::shared_ptr<ClientConnection>> connections_;
    std::deque<QueuedRequest> queue_;
};

Client::Client(boost::asio::io_context& context, Endpoint endpoint, std::size_t maxConnections)
    : d_(std::make_shared<Private>(context, std::move(endpoint), maxConnections))
{
}

Client::~Client()
{
    d_->clear();
}

void Client::send(Request request, Utils::Duration timeout, ResponseHandler handler)
{
    d_->send(std::move(request), timeout, std::move(handler));
}

const Endpoint& Client::endpoint() const
{
    return d_->endpoint();
}

} // namespace Http
