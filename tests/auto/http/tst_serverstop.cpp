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

constexpr char requestStart[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345";
constexpr char requestEnd[] = "67890";

// A server whose handlers only run when the test calls runReadyHandlers(), so each part of a request has been
// read before the next part is sent.
struct ManuallyRunServer {
    ManuallyRunServer()
        : server(context, options(), respondWithBodySize)
    {
        REQUIRE(Utils::isOk(server.start()));
        client.connect({ Asio::ip::address_v4::loopback(), server.port() });
        runReadyHandlers();
    }

    static Http::ServerOptions options()
    {
        Http::ServerOptions options;
        options.stopGracePeriod = Utils::Duration::zero();
        return options;
    }

    static void respondWithBodySize(const Http::Request& request, const Http::Responder& respond)
    {
        respond(Http::jsonResponse(200, std::to_string(request.body.size())));
    }

    void runReadyHandlers()
    {
        while (context.poll() > 0) { }
    }

    void send(std::string_view text)
    {
        Asio::write(client, Asio::buffer(text));
        runReadyHandlers();
    }

    std::string readToEnd()
    {
        std::string text;
        boost::system::error_code errorCode;
        Asio::read(client, Asio::dynamic_buffer(text), errorCode);
        return text;
    }

    void stop()
    {
        server.stop([this] { stopped = true; });
        runReadyHandlers();
    }

    Asio::io_context context { 1 };
    Http::Server server;
    Tcp::socket client { context };
    bool stopped = false;
};

} // namespace

TEST_CASE("Stopping closes connections that wait for a request")
{
    ManuallyRunServer fixture;
    fixture.stop();
    CHECK(fixture.stopped);
    CHECK(fixture.readToEnd().empty());
}

TEST_CASE("Stopping completes a request that has started to arrive, then closes its connection")
{
    ManuallyRunServer fixture;
    fixture.send(requestStart);
    fixture.stop();
    CHECK_FALSE(fixture.stopped);
    fixture.send(requestEnd);
    const std::string response = fixture.readToEnd();
    CHECK(response.find("200 OK") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.ends_with("10"));
    CHECK(fixture.stopped);
}
