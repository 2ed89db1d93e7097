#include "clientconnection.h"

#include "headers.h"
#include "idlesocket.h"
#include "peercheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace Http {

namespace {

// Greatest size of what is parsed as one piece: the header, the trailers or the header of a chunk.
constexpr std::size_t maxBufferBytes = 64U << 10U;

// Receives the result, the connection if it can be used again, and whether the server has closed a reused
// connection without a response.
using EndHandler = std::function<void(Utils::Result<Response>, std::optional<tcp::socket>, bool)>;

bhttp::request<bhttp::string_body> toMessage(Request&& request, const Endpoint& endpoint)
{
    bhttp::request<bhttp::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(bhttp::field::host, endpoint.toString());
    for (const Header& header : request.headers)
        message.set(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

// One exchange with everything that its operations refer to. Their handlers own it, so it lives until the
// last of them has completed, also if it ended earlier. It owns its socket and gives it back after a complete
// response only, so an operation that completes late can reach neither the socket nor the memory of another
// exchange.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(asio::io_context& context, Endpoint endpoint, Request&& request, const ClientLimits& limits,
        EndHandler handler)
        : endpoint_(std::move(endpoint))
        , timer_(context)
        , socket_(context)
        , maySend_(std::move(request.maySend))
        , bodyOnNewConnection_(std::move(request.bodyOnNewConnection))
        , isIdempotent_(request.isIdempotent)
        , message_(toMessage(std::move(request), endpoint_))
        , buffer_(maxBufferBytes)
        , budget_(limits.total)
        , handler_(std::move(handler))
    {
        parser_.body_limit(limits.maxResponseBytes);
        parser_.eager(true);
    }

    ~Exchange()
    {
        if (budget_)
            budget_->release(chargedBytes_);
    }

    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    //! \param wasSent whether the request was sent before, on another connection.
    void start(std::optional<tcp::socket> socket, const TimeLimits& limits, bool mayConnect, bool wasSent)
    {
        const auto now = asio::steady_timer::clock_type::now();
        end_ = now + limits.end;
        silence_ = limits.silence;
        receivedAt_ = now;
        waitUntil(now + limits.start);
        mayConnect_ = mayConnect;
        isRepeated_ = wasSent;
        if (!socket || !Internal::isIdle(*socket))
            return mayConnect ? connect() : failLater("the connection has been closed");
        socket_ = std::move(*socket);
        write();
    }

    // Ends the exchange without calling its handler.
    void cancel()
    {
        handler_ = nullptr;
        timer_.cancel();
        closeSocket();
    }

private:
    bool hasEnded() const { return !handler_; }

    void waitUntil(asio::steady_timer::time_point limit)
    {
        timer_.expires_at(limit);
        timer_.async_wait([self = shared_from_this()](boost::system::error_code errorCode) {
            if (!errorCode && !self->hasEnded())
                self->onLimit();
        });
    }

    // Goes on waiting while a bulk response arrives.
    void onLimit()
    {
        const auto limit = std::min(receivedAt_ + silence_, end_);
        if (limit <= asio::steady_timer::clock_type::now())
            return fail("no response within the time limit");
        waitUntil(limit);
    }

    void failLater(const char* reason)
    {
        asio::post(timer_.get_executor(), [self = shared_from_this(), reason] {
            if (!self->hasEnded())
                self->fail(reason);
        });
    }

    void connect()
    {
        isNewConnection_ = true;
        if (bodyOnNewConnection_) {
            message_.body() = std::move(*bodyOnNewConnection_);
            message_.prepare_payload();
        }
        boost::system::error_code code;
        const tcp::endpoint peer(asio::ip::make_address(endpoint_.address, code), endpoint_.port);
        socket_.async_connect(peer, [self = shared_from_this()](boost::system::error_code errorCode) {
            if (self->hasEnded())
                return;
            if (errorCode)
                return self->fail(errorCode.message(), errorCode == asio::error::connection_refused);
            boost::system::error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        if (maySend_ && !maySend_())
            return fail("the request must not be sent any more");
        isSent_ = true;
        bhttp::async_write(
            socket_, message_, [self = shared_from_this()](boost::system::error_code errorCode, std::size_t) {
                if (self->hasEnded())
                    return;
                if (errorCode)
                    return self->onConnectionLost(errorCode);
                self->read();
            });
    }

    void read()
    {
        bhttp::async_read_some(socket_, buffer_, parser_,
            [self = shared_from_this()](boost::system::error_code errorCode, std::size_t) {
                if (self->hasEnded())
                    return;
                if (errorCode)
                    return self->onConnectionLost(errorCode);
                if (!self->chargeBody())
                    return self->fail("the responses that are being received are too large together");
                if (self->parser_.is_done())
                    return self->succeed();
                self->receivedAt_ = asio::steady_timer::clock_type::now();
                self->read();
            });
    }

    // Returns whether the budget of all responses holds with what has been received of this one.
    bool chargeBody()
    {
        const std::size_t bytes = parser_.get().body().size();
        if (!budget_ || bytes <= chargedBytes_)
            return true;
        const std::size_t added = bytes - std::exchange(chargedBytes_, bytes);
        return budget_->acquire(added);
    }

    // A server may close a connection between two requests, which the client may see only after it has sent
    // the next one.
    void onConnectionLost(boost::system::error_code errorCode)
    {
        const bool isUnanswered = !isNewConnection_ && !parser_.got_some();
        if (!isUnanswered || !isIdempotent_ || !mayConnect_)
            return fail(errorCode.message(), false, isUnanswered);
        closeSocket();
        isRepeated_ = true;
        connect();
    }

    void succeed()
    {
        isComplete_ = true;
        auto message = parser_.release();
        std::optional<tcp::socket> socket;
        if (message.keep_alive() && buffer_.size() == 0)
            socket = std::move(socket_);
        Response response;
        response.status = message.result_int();
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        response.isFirstOnConnection = isNewConnection_;
        response.isToRepeatedRequest = isRepeated_;
        finish(std::move(response), std::move(socket), false);
    }

    void fail(const std::string& reason, bool isPeerAbsent = false, bool isUnanswered = false)
    {
        const bool mayBeCarriedOut = isSent_ || isRepeated_;
        const auto code = mayBeCarriedOut ? Utils::ErrorCode::OutcomeUnknown : Utils::ErrorCode::Unavailable;
        finish(Utils::Error { code, "http.exchange", endpoint_.toString(), reason, isPeerAbsent },
            std::nullopt, isUnanswered);
    }

    void finish(Utils::Result<Response> result, std::optional<tcp::socket> socket, bool isUnanswered)
    {
        const EndHandler handler = std::move(handler_);
        cancel();
        handler(std::move(result), std::move(socket), isUnanswered);
    }

    // Resets the connection of a request without a complete response: bytes that still wait to be sent must
    // not reach the server after the caller has given up.
    void closeSocket()
    {
        boost::system::error_code ignored;
        if (isSent_ && !isComplete_)
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    Endpoint endpoint_;
    asio::steady_timer timer_;
    asio::steady_timer::time_point end_ {}; //!< Latest end of the exchange.
    asio::steady_timer::time_point receivedAt_ {}; //!< When bytes were last received.
    Utils::Duration silence_ {}; //!< Longest gap between received bytes once the first limit has passed.
    tcp::socket socket_;
    std::function<bool()> maySend_; //!< As in Request.
    std::optional<std::string> bodyOnNewConnection_; //!< As in Request.
    bool isIdempotent_; //!< As in Request.
    bhttp::request<bhttp::string_body> message_;
    beast::flat_buffer buffer_;
    std::shared_ptr<ByteBudget> budget_; //!< Null: no bound.
    std::size_t chargedBytes_ = 0;
    bhttp::response_parser<bhttp::string_body> parser_;
    EndHandler handler_; //!< Empty once the exchange has ended.
    bool isNewConnection_ = false;
    bool mayConnect_ = true;
    bool isSent_ = false;
    bool isRepeated_ = false; //!< The request was sent before, on a connection that ended without a response.
    bool isComplete_ = false; //!< The whole response was received.
};

} // namespace

class ClientConnection::Private : public std::enable_shared_from_this<ClientConnection::Private> {
public:
    Private(asio::io_context& context, Endpoint endpoint, std::shared_ptr<const PeerCheck> check,
        ClientLimits limits)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , check_(std::move(check))
        , limits_(std::move(limits))
    {
    }

    void exchange(Request request, const TimeLimits& limits, ResponseHandler handler)
    {
        if (request.peerProcess == 0 || !check_)
            return run(std::move(request), limits, { .mayConnect = true }, std::move(handler));
        const bool isPeerKnown = idleSocket_ && peerProcess_ != 0 && Internal::isIdle(*idleSocket_);
        const bool isRightPeer = isPeerKnown && peerProcess_ == request.peerProcess;
        if (isRightPeer && request.peerCheckLimit == Utils::Duration::zero())
            return runOnKnownConnection(std::move(request), limits, std::move(handler));
        // The process may have ended without closing the connection.
        if (isPeerKnown && !isRightPeer)
            idleSocket_.reset();
        checkPeer(std::move(request), limits, std::move(handler));
    }

    void close()
    {
        if (exchange_)
            exchange_->cancel();
        exchange_ = nullptr;
        idleSocket_.reset();
    }

    bool isBusy() const { return exchange_ != nullptr; }

private:
    using ResultHandler = std::function<void(Utils::Result<Response>, bool isUnanswered)>;

    struct Sending {
        bool mayConnect = false;
        bool wasSent = false; //!< The request may have been carried out before.
    };

    void run(Request request, const TimeLimits& limits, Sending sending, ResponseHandler handler)
    {
        run(std::move(request), limits, sending,
            [handler = std::move(handler)](
                Utils::Result<Response> result, bool) { handler(std::move(result)); });
    }

    // Checks the process again if the connection turns out to be closed.
    void runOnKnownConnection(Request request, const TimeLimits& limits, ResponseHandler handler)
    {
        Request copy = request;
        const auto startedAt = asio::steady_timer::clock_type::now();
        run(std::move(request), limits, Sending(),
            [this, copy = std::move(copy), limits, startedAt, handler = std::move(handler)](
                Utils::Result<Response> result, bool isUnanswered) mutable {
                if (!isUnanswered || !copy.isIdempotent)
                    return handler(std::move(result));
                const auto elapsed = asio::steady_timer::clock_type::now() - startedAt;
                checkPeer(std::move(copy), limits.after(elapsed), std::move(handler), true);
            });
    }

    void run(Request request, const TimeLimits& limits, Sending sending, ResultHandler handler)
    {
        const auto exchange = std::make_shared<Exchange>(context_, endpoint_, std::move(request), limits_,
            [self = shared_from_this(), handler = std::move(handler)](Utils::Result<Response> result,
                std::optional<tcp::socket> socket, bool isUnanswered) mutable {
                self->exchange_ = nullptr;
                self->idleSocket_ = std::move(socket);
                const bool isNew = Utils::isOk(result) && Utils::value(result).isFirstOnConnection;
                if (isNew || !self->idleSocket_)
                    self->peerProcess_ = 0;
                handler(std::move(result), isUnanswered);
            });
        exchange_ = exchange;
        exchange->start(
            std::exchange(idleSocket_, std::nullopt), limits, sending.mayConnect, sending.wasSent);
    }

    // Sends the request once the response to another one shows that the server's process is the right one.
    // \param wasSent whether the request may have been carried out before.
    void checkPeer(Request request, const TimeLimits& limits, ResponseHandler handler, bool wasSent = false)
    {
        const auto unsent = wasSent ? Utils::ErrorCode::OutcomeUnknown : Utils::ErrorCode::Unavailable;
        const auto startedAt = asio::steady_timer::clock_type::now();
        const auto onResponse = [this, request, limits, startedAt, unsent, wasSent,
                                    handler = std::move(handler)](
                                    const Utils::Result<Response>& result) mutable {
            if (!Utils::isOk(result)) {
                Utils::Error error = Utils::error(result);
                error.code = unsent;
                error.step = "http.peer-check";
                return handler(std::move(error));
            }
            peerProcess_ = check_->identify(Utils::value(result));
            if (peerProcess_ == 0)
                return handler(Utils::Error { unsent, "http.peer-check", endpoint_.toString(),
                    "the response, status " + std::to_string(Utils::value(result).status)
                        + ", does not identify the process" });
            if (peerProcess_ != request.peerProcess)
                return handler(Utils::Error { wasSent ? unsent : Utils::ErrorCode::NotFound,
                    "http.peer-check", endpoint_.toString(), "another process answers at the address" });
            const auto elapsed = asio::steady_timer::clock_type::now() - startedAt;
            // The server may have closed the connection after its response, as HTTP allows at any time.
            run(std::move(request), limits.after(elapsed), { .mayConnect = true, .wasSent = wasSent },
                std::move(handler));
        };
        const bool isLimited = request.peerCheckLimit != Utils::Duration::zero();
        const TimeLimits checkLimits
            = isLimited ? TimeLimits::total(std::min(limits.start, request.peerCheckLimit)) : limits;
        run(check_->makeRequest(), checkLimits, { .mayConnect = true }, onResponse);
    }

    asio::io_context& context_;
    Endpoint endpoint_;
    std::shared_ptr<const PeerCheck> check_;
    ClientLimits limits_;
    std::optional<tcp::socket> idleSocket_; //!< Open connection between two exchanges.
    std::int64_t peerProcess_ = 0; //!< Process at its other end; 0 if unknown.
    std::shared_ptr<Exchange> exchange_; //!< Null unless an exchange is in progress.
};

ClientConnection::ClientConnection(
    asio::io_context& context, Endpoint endpoint, std::shared_ptr<const PeerCheck> check, ClientLimits limits)
    : d_(std::make_shared<Private>(context, std::move(endpoint), std::move(check), std::move(limits)))
{
}

ClientConnection::~ClientConnection()
{
    d_->close();
}

void ClientConnection::exchange(Request request, const TimeLimits& limits, ResponseHandler handler)
{
    d_->exchange(std::move(request), limits, std::move(handler));
}

bool ClientConnection::isBusy() const
{
    return d_->isBusy();
}

} // namespace Http
