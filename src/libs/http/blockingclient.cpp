#include "blockingclient.h"

#include "beastmessage.h"
#include "idlesocket.h"

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
// Greatest size of what is parsed as one piece: the header, the trailers or the header of a chunk.
constexpr std::size_t maxBufferBytes = 64U << 10U;

// A connection with its own io_context, which is run by the calling thread.
class Connection {
public:
    boost::system::error_code connect(const Tcp::endpoint& endpoint, Utils::Duration timeout)
    {
        boost::system::error_code result;
        stream_.expires_after(timeout);
        stream_.async_connect(
            endpoint, [&result](boost::system::error_code errorCode) { result = errorCode; });
        runContext();
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
            stream_, request, [this, &result](boost::system::error_code errorCode, std::size_t) {
                result = errorCode;
                if (errorCode)
                    return;
                Beast::http::async_read(stream_, buffer_, *parser_,
                    [&result](
                        boost::system::error_code readErrorCode, std::size_t) { result = readErrorCode; });
            });
        runContext();
        return result;
    }

    Internal::BeastResponse releaseResponse() { return parser_->release(); }
    bool isReusable() const { return parser_->keep_alive() && buffer_.size() == 0; }
    bool isIdle() { return Internal::isIdle(stream_.socket()); }
    void markUsed() { lastUseTime_ = std::chrono::steady_clock::now(); }
    bool isWithinIdleLimit() const { return std::chrono::steady_clock::now() - lastUseTime_ < maxIdleTime; }

private:
    void runContext()
    {
        context_.restart();
        context_.run();
    }

    Asio::io_context context_ { 1 };
    Beast::tcp_stream stream_ { context_ };
    Beast::flat_buffer buffer_ { maxBufferBytes };
    std::optional<Beast::http::response_parser<Beast::http::string_body>> parser_;
    std::chrono::steady_clock::time_point lastUseTime_;
};

} // namespace

class BlockingClient::Private {
public:
    explicit Private(ClientOptions options)
        : options_(std::move(options))
    {
    }

    std::string peer() const { return options_.address + ":" + std::to_string(options_.port); }

    Utils::Result<std::unique_ptr<Connection>> acquireConnection()
    {
        if (auto idle = acquireIdle())
            return idle;
        auto newConnection = std::make_unique<Connection>();
        boost::system::error_code errorCode;
        const auto address = Asio::ip::make_address(options_.address, errorCode);
        if (!errorCode)
            errorCode = newConnection->connect({ address, options_.port }, options_.timeout);
        if (errorCode)
            return Utils::Error { Utils::ErrorCode::Unavailable, "http.connect", peer(),
                errorCode.message() };
        return newConnection;
    }

    void addIdle(std::unique_ptr<Connection> connection)
    {
        if (!connection->isReusable())
            return;
        connection->markUsed();
        const std::lock_guard<std::mutex> guard(mutex_);
        if (idle_.size() < maxIdleConnections)
            idle_.push_back(std::move(connection));
    }

    Utils::Duration timeout() const { return options_.timeout; }

private:
    std::unique_ptr<Connection> acquireIdle()
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        while (!idle_.empty()) {
            auto connection = std::move(idle_.back());
            idle_.pop_back();
            if (connection->isWithinIdleLimit() && connection->isIdle())
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
    auto connection = d_->acquireConnection();
    if (!Utils::isOk(connection))
        return Utils::error(connection);
    const Internal::BeastRequest beastRequest = Internal::toBeast(request);
    const auto errorCode = Utils::value(connection)->exchange(beastRequest, d_->timeout());
    if (errorCode)
        return Utils::Error { Utils::ErrorCode::OutcomeUnknown, "http.exchange", peer(),
            errorCode.message() };
    Response response = Internal::fromBeast(Utils::value(connection)->releaseResponse());
    d_->addIdle(std::move(Utils::value(connection)));
    return response;
}

std::string BlockingClient::peer() const
{
    return d_->peer();
}

} // namespace Http
