#include <http/requestreader.h>

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace {

namespace Error = boost::beast::http;

constexpr std::size_t bufferBytes = 40U << 10U;

/*! Passes text on in pieces. \return the first error. */
boost::system::error_code feed(
    Http::Internal::RequestReader& reader, std::string_view text, std::size_t piece)
{
    for (;;) {
        if (const auto errorCode = reader.parse())
            return errorCode;
        if (reader.isComplete() || text.empty())
            return {};
        const auto memory = reader.prepare();
        REQUIRE(memory.size() > 0);
        const std::size_t size = std::min({ memory.size(), piece, text.size() });
        boost::asio::buffer_copy(memory, boost::asio::buffer(text.data(), size));
        reader.commit(size);
        CHECK(reader.heldBytes() <= bufferBytes + 100'000);
        text.remove_prefix(size);
    }
}

/*! A reader of one request. */
struct OneRequest : Http::Internal::RequestReader {
    OneRequest()
        : RequestReader({ 32U << 10U, 100'000, bufferBytes })
    {
        begin();
    }
};

} // namespace

TEST_CASE("A request is the same in whatever pieces it arrives")
{
    const std::size_t piece = GENERATE(1U, 7U, 100U, 1'000'000U);
    OneRequest reader;
    const std::string body(90'000, 'b');
    const std::string text = "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" + body;
    CHECK_FALSE(feed(reader, text, piece));
    REQUIRE(reader.isComplete());
    const Http::Request request = reader.release();
    CHECK(request.target == "/jobs/1");
    CHECK(request.body == body);
}

TEST_CASE("Trailers, chunk extensions and headers without end are refused once the buffer is full")
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string trailers = chunked + "0\r\n";
    std::string headers = "GET / HTTP/1.1\r\n";
    while (trailers.size() < 1'000'000) {
        trailers += "X-Trailer: tttttttttttttttttttttttttttttttt\r\n";
        headers += "X-Header: tttttttttttttttttttttttttttttttt\r\n";
    }
    const std::size_t piece = GENERATE(3U, 1400U, 1'000'000U);
    OneRequest first;
    CHECK(feed(first, trailers, piece) == Error::error::buffer_overflow);
    OneRequest second;
    CHECK(
        feed(second, chunked + "5;x=" + std::string(1'000'000, 'e'), piece) == Error::error::buffer_overflow);
    OneRequest third;
    CHECK(feed(third, headers, piece) == Error::error::header_limit);
}

TEST_CASE("A body over the limit is refused before it has been received")
{
    OneRequest reader;
    CHECK(feed(reader, "POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n", 100) == Error::error::body_limit);
    OneRequest chunked;
    std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int chunk = 0; chunk < 100'001; ++chunk)
        text += "1\r\nx\r\n";
    CHECK(feed(chunked, text, 1000) == Error::error::body_limit);
}

TEST_CASE("Requests that arrive together are told apart")
{
    OneRequest reader;
    const std::string first = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
    CHECK_FALSE(feed(reader, first + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n", 1000));
    CHECK(reader.release().target == "/1");
    REQUIRE(reader.hasInput());
    reader.begin();
    CHECK_FALSE(reader.parse());
    REQUIRE(reader.isComplete());
    CHECK(reader.release().target == "/2");
    CHECK_FALSE(reader.hasInput());
}
