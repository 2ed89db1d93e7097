#include <http/headers.h>
#include <http/server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr char firstHalf[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345";
constexpr char secondHalf[] = "67890";

// A server that runs only while the test lets it, so that each half has been read when the next step comes.
struct SteppedServer {
    SteppedServer()
        : server(context, options(), answerWithSize)
    {
        REQUIRE(Utils::isOk(server.start()));
        client.connect({ Asio::ip::address_v4::loopback(), server.port() });
        step();
    }

    static Http::ServerOptions options()
    {
        Http::ServerOptions options;
        options.drainGrace = Utils::Duration::zero();
        return options;
    }

    static void answerWithSize(Http::Request request, const Http::Responder& respond)
    {
        respond(Http::jsonResponse(200, std::to_string(request.body.size())));
    }

    void step()
    {
        while (context.poll() > 0) { }
    }

    void send(std::string_view text)
    {
        Asio::write(client, Asio::buffer(text));
        step();
    }

    std::string readToEnd()
    {
        std::string text;
        boost::system::error_code end;
        Asio::read(client, Asio::dynamic_buffer(text), end);
        return text;
    }

    void stop()
    {
        server.stop([this] { stopped = true; });
        step();
    }

    Asio::io_context context { 1 };
    Http::Server server;
    Tcp::socket client { context };
    bool stopped = false;
};

} // namespace

TEST_CASE("A stop closes connections that wait for a request")
{
    SteppedServer stepped;
    stepped.stop();
    CHECK(stepped.stopped);
    CHECK(stepped.readToEnd().empty());
}

TEST_CASE("A stop lets a request that has begun to arrive finish, then closes its connection")
{
    SteppedServer stepped;
    stepped.send(firstHalf);
    stepped.stop();
    CHECK_FALSE(stepped.stopped);
    stepped.send(secondHalf);
    const std::string answer = stepped.readToEnd();
    CHECK(answer.find("200 OK") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.ends_with("10"));
    CHECK(stepped.stopped);
}
