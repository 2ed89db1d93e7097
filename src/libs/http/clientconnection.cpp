#include "clientconnection.h"

#include "headers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace Http {

namespace {

// A larger response fails the exchange; the platform splits such responses into pages.
constexpr std::uint64_t maxResponseBytes = 16U << 20U;

} // namespace

class ClientConnection::Private : public std::enable_shared_from_this<ClientConnection::Private> {
public:
    Private(asio::io_context& context, Endpoint endpoint)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , timer_(context)
    {
    }

    void exchange(Request request, Utils::Duration timeout, ResponseHandler handler)
    {
        handler_ = std::move(handler);
        isSent_ = false;
        prepareMessage(std::move(request));
        timer_.expires_after(timeout);
        timer_.async_wait(
            [self = shared_from_this(), exchangeId = exchangeId_](boost::system::error_code code) {
                if (!code && exchangeId == self->exchangeId_)
                    self->fail("no response within the time limit");
            });
        if (socket_)
            write();
        else
            connect();
    }

    void close()
    {
        handler_ = nullptr;
        ++exchangeId_;
        timer_.cancel();
        closeSocket();
    }

    bool isBusy() const { return static_cast<bool>(handler_); }

private:
    void prepareMessage(Request request)
    {
        message_ = {};
        message_.method_string(request.method);
        message_.target(request.target);
        message_.version(11);
        message_.set(bhttp::field::host, endpoint_.toString());
        for (const Header& header : request.headers)
            message_.set(header.name, header.value);
        message_.body() = std::move(request.body);
        message_.prepare_payload();
    }

    void connect()
    {
        socket_ = std::make_shared<tcp::socket>(context_);
        boost::system::error_code code;
        const tcp::endpoint peer(asio::ip::make_address(endpoint_.address, code), endpoint_.port);
        socket_->async_connect(
            peer, [self = shared_from_this(), exchangeId = exchangeId_](boost::system::error_code errorCode) {
                if (exchangeId != self->exchangeId_)
                    return;
                if (errorCode)
                    return self->fail(errorCode.message());
                boost::system::error_code ignored;
                self->socket_->set_option(tcp::no_delay(true), ignored);
                self->write();
            });
    }

    void write()
    {
        isSent_ = true;
        bhttp::async_write(*socket_, message_,
            [self = shared_from_this(), exchangeId = exchangeId_, socket = socket_](
                boost::system::error_code errorCode, std::size_t) {
                if (exchangeId != self->exchangeId_)
                    return;
                if (errorCode)
                    return self->fail(errorCode.message());
                self->read();
            });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxResponseBytes);
        bhttp::async_read(*socket_, buffer_, *parser_,
            [self = shared_from_this(), exchangeId = exchangeId_, socket = socket_](
                boost::system::error_code errorCode, std::size_t) {
                if (exchangeId != self->exchangeId_)
                    return;
                if (errorCode)
                    return self->fail(errorCode.message());
                self->succeed();
            });
    }

    void succeed()
    {
        auto message = parser_->release();
        if (!message.keep_alive())
            closeSocket();
        Response response;
        response.status = message.result_int();
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        finish(std::move(response));
    }

    void fail(const std::string& reason)
    {
        closeSocket();
        const auto code = isSent_ ? Utils::ErrorCode::OutcomeUnknown : Utils::ErrorCode::Unavailable;
        finish(Utils::Error { code, "http.exchange", endpoint_.toString(), reason });
    }

    void finish(Utils::Result<Response> result)
    {
        ++exchangeId_;
        timer_.cancel();
        const ResponseHandler handler = std::move(handler_);
        handler_ = nullptr;
        handler(std::move(result));
    }

    void closeSocket()
    {
        if (socket_) {
            boost::system::error_code ignored;
            socket_->close(ignored);
            socket_.reset();
        }
        buffer_.consume(buffer_.size());
    }

    asio::io_context& context_;
    Endpoint endpoint_;
    asio::steady_timer timer_;
    std::shared_ptr<tcp::socket> socket_;
    beast::flat_buffer buffer_;
    bhttp::request<bhttp::string_body> message_;
    std::optional<bhttp::response_parser<bhttp::string_body>> parser_;
    ResponseHandler handler_;
    std::uint64_t exchangeId_
        = 0; //!< Incremented when an exchange ends, so that its pending operations are ignored.
    bool isSent_ = false;
};

ClientConnection::ClientConnection(asio::io_context& context, Endpoint endpoint)
    : d_(std::make_shared<Private>(context, std::move(endpoint)))
{
}

ClientConnection::~ClientConnection()
{
    d_->close();
}

void ClientConnection::exchange(Request request, Utils::Duration timeout, ResponseHandler handler)
{
    d_->exchange(std::move(request), timeout, std::move(handler));
}

bool ClientConnection::isBusy() const
{
    return d_->isBusy();
}

} // namespace Http
