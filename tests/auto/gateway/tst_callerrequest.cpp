#include <gateway/callerrequest.h>
#include <http/headers.h>

#include <catch2/catch.hpp>

namespace {

constexpr auto defaultDeadline = std::chrono::seconds(10);

Http::Request requestTo(const std::string& target, std::vector<Http::Header> headers = {})
{
    return { "POST", target, std::move(headers), "body", "10.0.0.9" };
}

} // namespace

TEST_CASE("Service, path and headers are parsed from the request")
{
    const auto parsed
        = Gateway::parseCallerRequest(requestTo("/services/rounds/a/b?c=d",
                                          { { "geraniumquay-class", "urgent" }, { "Idempotency-Key", "k1" },
                                              { "Geraniumquay-Deadline-Ms", "250" } }),
            defaultDeadline);
    REQUIRE(Utils::isOk(parsed));
    const auto& caller = Utils::value(parsed);
    CHECK(caller.service == "rounds");
    CHECK(caller.target == "/a/b?c=d");
    CHECK(caller.priorityClass == "urgent");
    CHECK(caller.key == "k1");
    CHECK(caller.deadline == std::chrono::milliseconds(250));
    CHECK(caller.callerId == "10.0.0.9");
    CHECK_FALSE(caller.idempotent);
    CHECK(caller.id.size() == 32);
}

TEST_CASE("Invalid paths, deadlines and ids are rejected")
{
    const auto errorCodeOf = [](const Http::Request& request) {
        const auto parsed = Gateway::parseCallerRequest(request, defaultDeadline);
        REQUIRE_FALSE(Utils::isOk(parsed));
        return Utils::error(parsed).code;
    };
    CHECK(errorCodeOf(requestTo("/other")) == Utils::ErrorCode::NotFound);
    for (const char* deadline : { "0", "-5", "12x", "600001" }) {
        CHECK(errorCodeOf(requestTo("/services/a/", { { "Geraniumquay-Deadline-Ms", deadline } }))
            == Utils::ErrorCode::InvalidArgument);
    }
    CHECK(errorCodeOf(requestTo("/services/a/", { { "Idempotency-Key", "with space" } }))
        == Utils::ErrorCode::InvalidArgument);
    CHECK(errorCodeOf(requestTo("/services/a/", { { "Geraniumquay-Request-Id", std::string(200, 'x') } }))
        == Utils::ErrorCode::InvalidArgument);
}

TEST_CASE("Hop-by-hop headers are not forwarded")
{
    const Http::Request request = requestTo(
        "/services/a/", { { "Connection", "close" }, { "Transfer-Encoding", "chunked" }, { "X-Own", "1" } });
    const auto parsed = Gateway::parseCallerRequest(request, defaultDeadline);
    const Http::Request forwarded = Gateway::backendRequest(request, Utils::value(parsed));
    CHECK_FALSE(Http::findHeader(forwarded.headers, "Connection"));
    CHECK_FALSE(Http::findHeader(forwarded.headers, "Transfer-Encoding"));
    CHECK(Http::findHeader(forwarded.headers, "X-Own") == std::string_view("1"));
    CHECK(Http::findHeader(forwarded.headers, "Geraniumquay-Request-Id")
        == std::string_view(Utils::value(parsed).id));
}
