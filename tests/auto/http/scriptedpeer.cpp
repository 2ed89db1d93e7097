#include "scriptedpeer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace Testing {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr std::size_t chunkBytes = 1U << 20U;

} // namespace

ScriptedPeer::ScriptedPeer()
    : acceptor_(context_, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
{
}

Http::Endpoint ScriptedPeer::endpoint() const
{
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

void ScriptedPeer::stopListening()
{
    acceptor_.close();
}

ScriptedPeer::Socket ScriptedPeer::accept()
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    for (;;) {
        if (auto socket = acceptIfAny())
            return std::move(*socket);
        if (std::chrono::steady_clock::now() > limit)
            throw std::runtime_error("no connection within the limit");
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

std::optional<ScriptedPeer::Socket> ScriptedPeer::acceptIfAny()
{
    boost::system::error_code errorCode;
    acceptor_.non_blocking(true);
    Socket socket = acceptor_.accept(errorCode);
    if (errorCode)
        return std::nullopt;
    return socket;
}

std::string ScriptedPeer::readTarget(Socket& socket)
{
    std::string text;
    Asio::read_until(socket, Asio::dynamic_buffer(text), "\r\n\r\n");
    const std::size_t begin = text.find(' ') + 1;
    return text.substr(begin, text.find(' ', begin) - begin);
}

std::size_t ScriptedPeer::readAvailable(Socket& socket)
{
    std::vector<char> chunk(chunkBytes);
    std::size_t total = 0;
    boost::system::error_code errorCode;
    while (socket.available() > 0)
        total += socket.read_some(Asio::buffer(chunk), errorCode);
    return total;
}

void ScriptedPeer::send(Socket& socket, std::string_view text)
{
    Asio::write(socket, Asio::buffer(text));
}

std::string responseWith(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void HeldLoop::runHandlers(int count)
{
    context_.restart();
    for (int i = 0; i < count; ++i)
        context_.poll_one();
}

void HeldLoop::runUntil(const std::function<bool()>& isDone)
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    while (!isDone()) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        context_.restart();
        if (context_.poll() == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace Testing
