#include <platform/tablestore.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace std::chrono_literals;

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr auto callTimeout = 200ms;
constexpr auto partInterval = 40ms;
constexpr std::size_t responseParts = 20; // Take four times the timeout of a call to arrive.
constexpr auto lateness = 400ms; // Of timers on a busy machine; still well before a whole response.
constexpr std::size_t rowBytes = 400'000; // Of the value in base64.

// A table service that sends the response to its only request in equal parts at a fixed interval.
class SlowService {
public:
    explicit SlowService(Asio::io_context& io)
        : acceptor_(io, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , socket_(io)
        , timer_(io)
    {
        const std::string body
            = R"({"ver":7,"rows":[{"table":"op","part":"","key":"routes","ver":7,"value":")"
            + std::string(rowBytes, 'A') + "\"}]}";
        response_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        acceptor_.async_accept(socket_, [this](boost::system::error_code code) {
            if (!code)
                readRequest();
        });
    }

    Http::Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

    std::size_t partsToSend = responseParts; //!< The service is silent after these parts.

private:
    void readRequest()
    {
        Asio::async_read_until(socket_, Asio::dynamic_buffer(request_), "\r\n\r\n",
            [this](boost::system::error_code code, std::size_t) {
                if (!code)
                    sendPart();
            });
    }

    void sendPart()
    {
        if (sentParts_ == partsToSend)
            return;
        const std::size_t partBytes = (response_.size() + responseParts - 1) / responseParts;
        const std::size_t begin = std::min(response_.size(), sentParts_ * partBytes);
        ++sentParts_;
        Asio::async_write(socket_,
            Asio::buffer(response_.data() + begin, std::min(partBytes, response_.size() - begin)),
            [this](boost::system::error_code code, std::size_t) {
                if (code)
                    return;
                timer_.expires_after(partInterval);
                timer_.async_wait([this](boost::system::error_code waitCode) {
                    if (!waitCode)
                        sendPart();
                });
            });
    }

    Tcp::acceptor acceptor_;
    Tcp::socket socket_;
    Asio::steady_timer timer_;
    std::string request_;
    std::string response_;
    std::size_t sentParts_ = 0;
};

struct SlowFixture {
    // Returns the outcome and how long it took.
    std::pair<Utils::Result<Ports::RowPage>, Utils::Duration> readRange(std::size_t limit, bool isBulk)
    {
        return call([&](auto handler) { store.read({ "op", "", "", "", limit, isBulk }, handler); });
    }

    std::pair<Utils::Result<Ports::RowPage>, Utils::Duration> follow()
    {
        return call([&](auto handler) { store.follow("op", 5, 100ms, handler); });
    }

    template <typename Start>
    std::pair<Utils::Result<Ports::RowPage>, Utils::Duration> call(Start&& startCall)
    {
        std::optional<Utils::Result<Ports::RowPage>> result;
        const auto begin = std::chrono::steady_clock::now();
        startCall([&](const Utils::Result<Ports::RowPage>& page) {
            result = page;
            io.stop();
        });
        io.run_for(5s);
        REQUIRE(result);
        return { *result, std::chrono::steady_clock::now() - begin };
    }

    Asio::io_context io { 1 };
    SlowService service { io };
    UsersPlatform::TableStore store { io, service.endpoint(), callTimeout };
};

void checkComplete(const Utils::Result<Ports::RowPage>& result)
{
    INFO((Utils::isOk(result) ? std::string() : Utils::error(result).toString()));
    REQUIRE(Utils::isOk(result));
    REQUIRE(Utils::value(result).rows.size() == 1);
    CHECK(Utils::value(result).rows[0].value.size() == rowBytes / 4 * 3);
}

} // namespace

TEST_CASE("A bulk list that keeps arriving is not given up after the time limit of a call")
{
    SlowFixture fixture;
    checkComplete(fixture.readRange(0, true).first);
}

TEST_CASE("Changes that keep arriving are not given up after the time limit of a call")
{
    SlowFixture fixture;
    checkComplete(fixture.follow().first);
}

TEST_CASE("A bulk list or a feed that does not begin is given up after the time limit of a call")
{
    SlowFixture list;
    list.service.partsToSend = 0;
    const auto [listResult, listDuration] = list.readRange(0, true);
    CHECK_FALSE(Utils::isOk(listResult));
    CHECK(listDuration < callTimeout + lateness);

    SlowFixture feed;
    feed.service.partsToSend = 0;
    const auto [feedResult, feedDuration] = feed.follow();
    CHECK_FALSE(Utils::isOk(feedResult));
    CHECK(feedDuration < 100ms + callTimeout + lateness);
}

TEST_CASE("A bulk list that stops arriving is given up soon after its last bytes")
{
    SlowFixture fixture;
    fixture.service.partsToSend = responseParts / 2;
    const auto [result, duration] = fixture.readRange(0, true);
    CHECK_FALSE(Utils::isOk(result));
    CHECK(duration < responseParts / 2 * partInterval + callTimeout + 300ms);
}

TEST_CASE("Other reads keep the time limit of a call although bytes arrive")
{
    const std::size_t limit = GENERATE(std::size_t(0), std::size_t(1));
    SlowFixture fixture;
    const auto [result, duration] = fixture.readRange(limit, false);
    CHECK_FALSE(Utils::isOk(result));
    CHECK(duration < callTimeout + lateness);
}
