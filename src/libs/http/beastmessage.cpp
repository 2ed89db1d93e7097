#include "beastmessage.h"

#include <boost/beast/http.hpp>

namespace Http::Internal {

namespace {

constexpr unsigned http11 = 11;

template <typename Fields> std::vector<Header> headersOf(const Fields& fields)
{
    std::vector<Header> headers;
    for (const auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

} // namespace

Request fromBeast(BeastRequest&& message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = headersOf(message);
    request.body = std::move(message.body());
    return request;
}

Response fromBeast(BeastResponse&& message)
{
    Response response;
    response.status = message.result_int();
    response.headers = headersOf(message);
    response.body = std::move(message.body());
    return response;
}

BeastRequest toBeast(const Request& message)
{
    BeastRequest request;
    request.version(http11);
    request.method_string(message.method);
    request.target(message.target);
    for (const Header& header : message.headers)
        request.insert(header.name, header.value);
    request.body() = message.body;
    request.prepare_payload();
    return request;
}

BeastResponse toBeast(Response&& message)
{
    BeastResponse response;
    response.version(http11);
    response.result(message.status);
    for (const Header& header : message.headers)
        response.insert(header.name, header.value);
    response.body() = std::move(message.body);
    response.prepare_payload();
    return response;
}

} // namespace Http::Internal
