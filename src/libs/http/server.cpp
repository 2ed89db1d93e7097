#include "server.h"

#include "beastmessage.h"
#include "connectionregistry.h"
#include "headers.h"
#include "requestreader.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <vector>

namespace Http {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
using Tcp = Asio::ip::tcp;

constexpr std::uint32_t maxHeaderBytes = 32U << 10U;
constexpr auto writeTimeout = std::chrono::seconds(30);
constexpr auto drainTimeout = std::chrono::seconds(2);
constexpr std::size_t drainChunkBytes = 64U << 10U;
constexpr std::size_t maxDrainBytes = 64U << 20U;
constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);

std::string errorBody(std::string_view message)
{
    return "{\"error\":\"invalid-argument\",\"step\":\"http.read\",\"peer\":\"\",\"message\":\""
        + std::string(message) + "\"}";
}

// Returns the response to a request that could not be read; nothing if the peer merely disconnected.
std::optional<Response> readErrorResponse(const boost::system::error_code& errorCode)
{
    namespace Error = Beast::http;
    if (errorCode == Error::error::body_limit)
        return jsonResponse(413, errorBody("the body is too large"));
    if (errorCode == Error::error::header_limit)
        return jsonResponse(431, errorBody("the header is too large"));
    const bool isMalformed
        = errorCode.category() == Error::make_error_code(Error::error::bad_method).category()
        && errorCode != Error::error::end_of_stream && errorCode != Error::error::partial_message;
    if (isMalformed)
        return jsonResponse(400, errorBody("the request is malformed"));
    return std::nullopt;
}

// The request has not been handled, so the caller may send it again.
Response overloadResponse(std::uint32_t retryAfterS)
{
    Response response = jsonResponse(
        503, R"({"error":"overloaded","step":"http.read","peer":"","message":"too much is being received"})");
    response.headers.push_back({ "Retry-After", std::to_string(retryAfterS) });
    return response;
}

} // namespace

class Server::Private : public std::enable_shared_from_this<Server::Private> {
public:
    Private(Asio::io_context& context, ServerOptions options, Handler handler)
        : options_(std::move(options))
        , handler_(std::move(handler))
        , context_(context)
        , acceptor_(Asio::make_strand(context))
        , listener_(options_.connections
                  ? options_.connections->addListener(options_.name, options_.maxConnections)
                  : 0)
    {
    }

    Utils::Status open();
    void stop(const std::function<void()>& done);
    std::uint16_t port() const { return port_; }
    std::size_t requestsInProgress() const { return requestsInProgress_; }

private:
    using Stream = Beast::tcp_stream;

    struct Connection {
        explicit Connection(const Stream::executor_type& executor)
            : stream(executor)
        {
        }

        Stream stream;
        bool isWaitingForRequest = false; // True while waitForRequest() waits; used on the strand.
        std::optional<ConnectionTable::Id> id; // Its number in the registry.
        ConnectionPhase phase = ConnectionPhase::Waiting; // As in the registry; used on the strand.
        bool isExcess = false; // To be closed, but for a complete request; used on the strand.
    };

    void acceptConnections(const Asio::yield_context& yield);
    void serveConnection(const std::shared_ptr<Connection>& connection, const Asio::yield_context& yield);
    bool waitForRequest(
        Connection& connection, Internal::RequestReader& reader, const Asio::yield_context& yield);
    bool serveRequest(
        Connection& connection, Internal::RequestReader& reader, const Asio::yield_context& yield);
    boost::system::error_code readRequest(
        Connection& connection, Internal::RequestReader& reader, const Asio::yield_context& yield);
    bool refuse(Connection& connection, Response response, const Asio::yield_context& yield);
    static void closeUnlessServing(Connection& connection);
    void setPhase(Connection& connection, ConnectionPhase phase) const;
    void setBytes(const Connection& connection, std::size_t bytes) const;
    Response handle(Request request, const Asio::yield_context& yield);
    bool write(Stream& stream, Response response, bool keepAlive, const Asio::yield_context& yield);
    static void drain(Stream& stream, const Asio::yield_context& yield);
    Utils::Duration readTimeout() const;
    bool addConnection(const std::shared_ptr<Connection>& connection);
    void removeConnection(const std::shared_ptr<Connection>& connection);
    void closeIdleConnections();

    ServerOptions options_;
    Handler handler_;
    Asio::io_context& context_;
    Tcp::acceptor acceptor_;
    std::size_t listener_; // Its number in the registry.
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> requestsInProgress_ = 0;
    std::mutex mutex_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::function<void()> stopCallback_;
};

Utils::Status Server::Private::open()
{
    boost::system::error_code errorCode;
    const auto address = Asio::ip::make_address(options_.address, errorCode);
    const Tcp::endpoint endpoint(address, options_.port);
    if (!errorCode)
        acceptor_.open(endpoint.protocol(), errorCode);
    if (!errorCode)
        acceptor_.set_option(Asio::socket_base::reuse_address(true), errorCode);
    if (!errorCode)
        acceptor_.bind(endpoint, errorCode);
    if (!errorCode)
        acceptor_.listen(Asio::socket_base::max_listen_connections, errorCode);
    if (errorCode) {
        return Utils::Error { Utils::ErrorCode::Unavailable, "http.listen",
            options_.address + ":" + std::to_string(options_.port), errorCode.message() };
    }
    port_ = acceptor_.local_endpoint().port();
    Asio::spawn(
        acceptor_.get_executor(),
        [self = shared_from_this()](const Asio::yield_context& yield) { self->acceptConnections(yield); },
        Asio::detached);
    return Utils::success();
}

void Server::Private::acceptConnections(const Asio::yield_context& yield)
{
    while (!stopping_) {
        boost::system::error_code errorCode;
        auto strand = Asio::make_strand(context_);
        auto connection = std::make_shared<Connection>(strand);
        acceptor_.async_accept(connection->stream.socket(), yield[errorCode]);
        if (errorCode == Asio::error::operation_aborted || errorCode == Asio::error::bad_descriptor)
            return;
        if (errorCode) {
            // For example, out of file descriptors: wait instead of retrying in a busy loop.
            Asio::steady_timer retryTimer(acceptor_.get_executor(), acceptRetryDelay);
            retryTimer.async_wait(yield[errorCode]);
            continue;
        }
        if (!addConnection(connection))
            continue;
        Asio::spawn(
            strand,
            [self = shared_from_this(), connection](const Asio::yield_context& connectionYield) {
                self->serveConnection(connection, connectionYield);
            },
            Asio::detached);
    }
}

void Server::Private::serveConnection(
    const std::shared_ptr<Connection>& connection, const Asio::yield_context& yield)
{
    boost::system::error_code ignored;
    Stream& stream = connection->stream;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    Internal::RequestReader reader({ maxHeaderBytes, options_.maxBodyBytes, options_.maxBufferBytes });
    while (serveRequest(*connection, reader, yield)) { }
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream.close();
    removeConnection(connection);
}

// Waits for the first byte of a request; false if the connection ends, times out or is canceled before.
bool Server::Private::waitForRequest(
    Connection& connection, Internal::RequestReader& reader, const Asio::yield_context& yield)
{
    if (reader.hasInput())
        return true;
    boost::system::error_code errorCode;
    setPhase(connection, ConnectionPhase::Waiting);
    setBytes(connection, 0);
    connection.stream.expires_after(readTimeout());
    connection.isWaitingForRequest = true;
    const std::size_t bytesRead = connection.stream.async_read_some(reader.prepare(), yield[errorCode]);
    connection.isWaitingForRequest = false;
    reader.commit(bytesRead);
    return !errorCode;
}

// Returns false if the connection must be closed.
bool Server::Private::serveRequest(
    Connection& connection, Internal::RequestReader& reader, const Asio::yield_context& yield)
{
    if (!waitForRequest(connection, reader, yield))
        return false;
    Stream& stream = connection.stream;
    setPhase(connection, ConnectionPhase::Receiving);
    boost::system::error_code errorCode = readRequest(connection, reader, yield);
    if (errorCode) {
        auto errorResponse = readErrorResponse(errorCode);
        return errorResponse && refuse(connection, std::move(*errorResponse), yield);
    }
    stream.expires_never();
    setPhase(connection, ConnectionPhase::Serving);
    if (connection.id && !options_.connections->mayServe(*connection.id))
        return refuse(connection, overloadResponse(options_.refusalRetryAfterS), yield);
    const bool keepAlive = reader.isKeptAlive();
    Request request = reader.release();
    request.peer = stream.socket().remote_endpoint(errorCode).address().to_string();
    Response response = handle(std::move(request), yield);
    setBytes(connection, response.body.size());
    return write(stream, std::move(response), keepAlive && !connection.isExcess, yield);
}

// Reads piece by piece, so that what has been received counts before the request is complete.
boost::system::error_code Server::Private::readRequest(
    Connection& connection, Internal::RequestReader& reader, const Asio::yield_context& yield)
{
    reader.begin();
    connection.stream.expires_after(options_.idleTimeout);
    for (;;) {
        boost::system::error_code errorCode = reader.parse();
        if (errorCode)
            return errorCode;
        setBytes(connection, reader.heldBytes());
        if (reader.isComplete())
            return {};
        reader.commit(connection.stream.async_read_some(reader.prepare(), yield[errorCode]));
        if (errorCode)
            return errorCode;
    }
}

// Sends a response to a request that has not been handled; always returns false, as the connection must be
// closed.
bool Server::Private::refuse(Connection& connection, Response response, const Asio::yield_context& yield)
{
    setPhase(connection, ConnectionPhase::Receiving);
    setBytes(connection, 0);
    write(connection.stream, std::move(response), false, yield);
    drain(connection.stream, yield);
    return false;
}

// A complete request may have arrived since the connection was chosen, and must be answered.
void Server::Private::closeUnlessServing(Connection& connection)
{
    connection.isExcess = true;
    if (connection.phase != ConnectionPhase::Serving)
        connection.stream.close();
}

void Server::Private::setPhase(Connection& connection, ConnectionPhase phase) const
{
    connection.phase = phase;
    if (connection.id)
        options_.connections->setPhase(*connection.id, phase);
}

void Server::Private::setBytes(const Connection& connection, std::size_t bytes) const
{
    if (connection.id)
        options_.connections->setBytes(*connection.id, bytes);
}

Response Server::Private::handle(Request request, const Asio::yield_context& yield)
{
    ++requestsInProgress_;
    auto initiate = [this, &request](auto completion) {
        using Completion = decltype(completion);
        auto sharedCompletion = std::make_shared<Completion>(std::move(completion));
        auto executor = Asio::get_associated_executor(*sharedCompletion);
        handler_(std::move(request), [sharedCompletion, executor](Response response) {
            Asio::post(executor, [sharedCompletion, movedResponse = std::move(response)]() mutable {
                (*sharedCompletion)(std::move(movedResponse));
            });
        });
    };
    Response response = Asio::async_initiate<const Asio::yield_context&, void(Response)>(initiate, yield);
    --requestsInProgress_;
    return response;
}

bool Server::Private::write(
    Stream& stream, Response response, bool keepAlive, const Asio::yield_context& yield)
{
    keepAlive = keepAlive && !stopping_;
    Internal::BeastResponse message = Internal::toBeast(std::move(response));
    message.keep_alive(keepAlive);
    boost::system::error_code errorCode;
    stream.expires_after(writeTimeout);
    Beast::http::async_write(stream, message, yield[errorCode]);
    return !errorCode && keepAlive;
}

// Discards unread data: closing a socket with unread data would reset the connection, and the peer would lose
// the error response.
void Server::Private::drain(Stream& stream, const Asio::yield_context& yield)
{
    boost::system::error_code errorCode;
    stream.socket().shutdown(Tcp::socket::shutdown_send, errorCode);
    std::vector<char> scratch(drainChunkBytes);
    std::size_t drained = 0;
    stream.expires_after(drainTimeout);
    while (!errorCode && drained < maxDrainBytes)
        drained += stream.async_read_some(Asio::buffer(scratch), yield[errorCode]);
}

Utils::Duration Server::Private::readTimeout() const
{
    return stopping_ ? options_.stopGracePeriod : options_.idleTimeout;
}

// Returns whether the connection may be served; otherwise it is closed.
bool Server::Private::addConnection(const std::shared_ptr<Connection>& connection)
{
    if (options_.connections) {
        connection->id = options_.connections->add(listener_, [weak = std::weak_ptr(connection)] {
            if (const auto excess = weak.lock())
                Asio::post(excess->stream.get_executor(), [excess] { closeUnlessServing(*excess); });
        });
        if (!connection->id)
            return false;
    }
    const std::lock_guard<std::mutex> guard(mutex_);
    connections_.insert(connection);
    return true;
}

void Server::Private::removeConnection(const std::shared_ptr<Connection>& connection)
{
    if (connection->id)
        options_.connections->remove(*connection->id);
    std::function<void()> done;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        connections_.erase(connection);
        if (stopping_ && connections_.empty())
            done = std::exchange(stopCallback_, nullptr);
    }
    if (done)
        done();
}

void Server::Private::stop(const std::function<void()>& done)
{
    bool hasNoConnections = false;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        stopping_ = true;
        hasNoConnections = connections_.empty();
        if (!hasNoConnections)
            stopCallback_ = done;
    }
    Asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
    });
    if (hasNoConnections) {
        done();
        return;
    }
    auto graceTimer = std::make_shared<Asio::steady_timer>(context_, options_.stopGracePeriod);
    graceTimer->async_wait(
        [self = shared_from_this(), graceTimer](boost::system::error_code) { self->closeIdleConnections(); });
}

// Closes connections that wait for a request, but none with a request that is arriving or in progress.
void Server::Private::closeIdleConnections()
{
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const std::shared_ptr<Connection>& connection : connections_) {
        Asio::post(connection->stream.get_executor(), [connection] {
            if (connection->isWaitingForRequest)
                connection->stream.cancel();
        });
    }
}

Server::Server(Asio::io_context& context, ServerOptions options, Handler handler)
    : d_(std::make_shared<Private>(context, std::move(options), std::move(handler)))
{
}

Server::~Server() = default;

Utils::Status Server::start()
{
    return d_->open();
}

std::uint16_t Server::port() const
{
    return d_->port();
}

void Server::stop(const std::function<void()>& done)
{
    d_->stop(done);
}

std::size_t Server::requestsInProgress() const
{
    return d_->requestsInProgress();
}

} // namespace Http
