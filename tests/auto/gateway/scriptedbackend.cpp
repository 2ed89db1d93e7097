#include "scriptedbackend.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>

#include <thread>
#include <vector>

namespace Testing {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr char healthyResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

class ScriptedBackend::Private {
public:
    explicit Private(BackendScript script)
        : script_(std::move(script))
        , acceptor_(context_, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , port_(acceptor_.local_endpoint().port())
    {
        if (script_.refuseConnections)
            acceptor_.close();
        else
            Asio::spawn(
                context_, [this](const Asio::yield_context& yield) { acceptConnections(yield); },
                Asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }

    ~Private()
    {
        context_.stop();
        thread_.join();
    }

    std::uint16_t port() const { return port_; }
    int executedRequests() const { return executedRequests_; }
    void silenceOpenConnections() { firstResponsiveConnection_ = acceptedConnections_.load(); }

private:
    void acceptConnections(const Asio::yield_context& yield)
    {
        for (int connection = 0;; ++connection) {
            boost::system::error_code failure;
            auto socket = std::make_shared<Tcp::socket>(context_);
            acceptor_.async_accept(*socket, yield[failure]);
            if (failure)
                return;
            acceptedConnections_ = connection + 1;
            const bool healthy
                = script_.firstHealthyConnection >= 0 && connection >= script_.firstHealthyConnection;
            Asio::spawn(
                context_,
                [this, socket, healthy, connection](
                    const Asio::yield_context& inner) { serve(*socket, connection, healthy, inner); },
                Asio::detached);
        }
    }

    void serve(Tcp::socket& socket, int connection, bool healthy, const Asio::yield_context& yield)
    {
        boost::system::error_code failure;
        if (script_.closeOnAccept && !healthy)
            return;
        std::string head;
        while (!failure) {
            const std::size_t length
                = Asio::async_read_until(socket, Asio::dynamic_buffer(head), "\r\n\r\n", yield[failure]);
            if (failure)
                return;
            head.erase(0, length);
            if (connection < firstResponsiveConnection_)
                continue;
            ++executedRequests_;
            const std::string response = healthy ? healthyResponse : script_.response;
            Asio::async_write(socket, Asio::buffer(response), yield[failure]);
            if (!healthy && script_.closeAfterResponse)
                return;
        }
    }

    BackendScript script_;
    Asio::io_context context_ { 1 };
    Tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::atomic<int> executedRequests_ = 0;
    std::atomic<int> acceptedConnections_ = 0;
    std::atomic<int> firstResponsiveConnection_ = 0;
    std::thread thread_;
};

ScriptedBackend::ScriptedBackend(BackendScript script)
    : d_(std::make_unique<Private>(std::move(script)))
{
}

ScriptedBackend::~ScriptedBackend() = default;

std::uint16_t ScriptedBackend::port() const
{
    return d_->port();
}

void ScriptedBackend::silenceOpenConnections()
{
    d_->silenceOpenConnections();
}

int ScriptedBackend::executedRequests() const
{
    return d_->executedRequests();
}

} // namespace Testing
