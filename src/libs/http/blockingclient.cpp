#include "blockingclient.h"

#include "beastmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <vector>

namespace Http {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
using Tcp = Asio::ip::tcp;

constexpr auto maxIdleTime = std::chrono::seconds(5);
constexpr std::size_t maxIdleConnections = 16;
constexpr std::uint64_t maxBodyBytes = 256U << 20U;

// One connection with an io_context of its own, run by the thread that uses it.
class Connection {
public:
    boost::system::error_code connect(const Tcp::endpoint& endpoint, Utils::Duration timeout)
    {
        boost::system::error_code result;
        stream_.expires_after(timeout);
        stream_.async_connect(endpoint, [&result](boost::system::error_code failure) { result = failure; });
        run();
        if (!result)
            stream_.socket().set_option(Tcp::no_delay(true));
        return result;
    }

    boost::system::error_code exchange(const Internal::BeastRequest& request, Utils::Duration timeout)
    {
        boost::system::error_code result;
        parser_.emplace();
        parser_->body_limit(maxBodyBytes);
        stream_.expires_after(timeout);
        Beast::http::async_write(
            stream_, request, [this, &result](boost::system::error_code failure, std::size_t) {
                result = failure;
                if (failure)
                    return;
                Beast::http::async_read(stream_, buffer_, *parser_,
                    [&result](boost::system::error_code readFailure, std::size_t) { result = readFailure; });
            });
        run();
        return result;
    }

    Internal::BeastResponse takeResponse() { return parser_->release(); }
    bool isReusable() const { return parser_->keep_alive(); }
    void touch() { lastUse_ = std::chrono::steady_clock::now(); }
    bool isFresh() const { return std::chrono::steady_clock::now() - lastUse_ < maxIdleTime; }

private:
    void run()
    {
        context_.restart();
        context_.run();
    }

    Asio::io_context context_ { 1 };
    Beast::tcp_stream stream_ { context_ };
    Beast::flat_buffer buffer_;
    std::optional<Beast::http::response_parser<Beast::http::string_body>> parser_;
    std::chrono::steady_clock::time_point lastUse_;
};

} // namespace

class BlockingClient::Private {
public:
    explicit Private(ClientOptions options)
        : options_(std::move(options))
    {
    }

    std::string peer() const { return options_.address + ":" + std::to_string(options_.port); }

    Utils::Result<std::unique_ptr<Connection>> connection()
    {
        if (auto idle = takeIdle())
            return idle;
        auto fresh = std::make_unique<Connection>();
        boost::system::error_code failure;
        const auto address = Asio::ip::make_address(options_.address, failure);
        if (!failure)
            failure = fresh->connect({ address, options_.port }, options_.timeout);
        if (failure)
            return Utils::Error { Utils::ErrorCode::Unavailable, "http.connect", peer(), failure.message() };
        return fresh;
    }

    void giveBack(std::unique_ptr<Connection> connection)
    {
        if (!connection->isReusable())
            return;
        connection->touch();
        const std::lock_guard<std::mutex> guard(mutex_);
        if (idle_.size() < maxIdleConnections)
            idle_.push_back(std::move(connection));
    }

    Utils::Duration timeout() const { return options_.timeout; }

private:
    std::unique_ptr<Connection> takeIdle()
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        while (!idle_.empty()) {
            auto connection = std::move(idle_.back());
            idle_.pop_back();
            if (connection->isFresh())
                return connection;
        }
        return nullptr;
    }

    ClientOptions options_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Connection>> idle_;
};

BlockingClient::BlockingClient(ClientOptions options)
    : d_(std::make_unique<Private>(std::move(options)))
{
}

BlockingClient::~BlockingClient() = default;

Utils::Result<Response> BlockingClient::send(const Request& request)
{
    auto connection = d_->connection();
    if (!Utils::isOk(connection))
        return Utils::error(connection);
    const Internal::BeastRequest message = Internal::toBeast(request);
    const auto failure = Utils::value(connection)->exchange(message, d_->timeout());
    if (failure)
        return Utils::Error { Utils::ErrorCode::OutcomeUnknown, "http.exchange", peer(), failure.message() };
    Response response = Internal::fromBeast(Utils::value(connection)->takeResponse());
    d_->giveBack(std::move(Utils::value(connection)));
    return response;
}

std::string BlockingClient::peer() const
{
    return d_->peer();
}

} // namespace Http
