#pragma once

#include <http/client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Testing {

/*! Time after which a test that waits for something fails. */
inline constexpr auto waitLimit = std::chrono::seconds(10);

/*! A server without a thread: the test calls it when a client's connection, request or response is due. */
class ScriptedPeer {
public:
    using Socket = boost::asio::ip::tcp::socket;

    ScriptedPeer();

    /*! Returns the address that clients connect to. */
    Http::Endpoint endpoint() const;

    /*! Refuses connections from now on. */
    void stopListening();

    /*! Returns the next connection of a client; waits for it. */
    Socket accept();

    /*! Returns the next connection of a client if there is one. */
    std::optional<Socket> acceptIfAny();

    /*! Waits for a request's header; returns its target. */
    static std::string readTarget(Socket& socket);

    /*! Reads everything that has arrived; returns the number of bytes. */
    static std::size_t readAvailable(Socket& socket);

    /*! Sends \a text. */
    static void send(Socket& socket, std::string_view text);

private:
    boost::asio::io_context context_ { 1 };
    boost::asio::ip::tcp::acceptor acceptor_;
};

/*! Returns a complete response of status 200. */
std::string responseWith(const std::string& body);

/*! An event loop of a client that runs only when the test says so, which stands for a process that freezes.
 */
class HeldLoop {
public:
    boost::asio::io_context& context() { return context_; }

    /*! Runs up to \a count handlers that are ready. */
    void runHandlers(int count);

    /*! Runs handlers until \a isDone returns true; the test fails if it never does. */
    void runUntil(const std::function<bool()>& isDone);

private:
    boost::asio::io_context context_ { 1 };
};

} // namespace Testing
