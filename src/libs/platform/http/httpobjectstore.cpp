#include "httpobjectstore.h"

#include "http/target.h"

namespace Platform {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;

std::string objectTarget(std::string_view name)
{
    return "/objects/" + Http::encodeQuery(name);
}

Utils::Error statusError(std::string_view step, std::string peer, unsigned status)
{
    const auto code = status == statusNotFound ? Utils::ErrorCode::NotFound : Utils::ErrorCode::Refused;
    return { code, std::string(step), std::move(peer), "status " + std::to_string(status) };
}

} // namespace

HttpObjectStore::HttpObjectStore(Http::ClientOptions options)
    : client_(std::move(options))
{
}

Utils::Status HttpObjectStore::put(std::string_view name, std::string_view content)
{
    const auto response = client_.send({ "PUT", objectTarget(name), {}, std::string(content), {} });
    if (!Utils::isOk(response))
        return Utils::error(response);
    const unsigned status = Utils::value(response).status;
    if (status != statusOk)
        return statusError("object.put", client_.peer(), status);
    return Utils::success();
}

Utils::Result<std::string> HttpObjectStore::get(std::string_view name)
{
    auto response = client_.send({ "GET", objectTarget(name), {}, {}, {} });
    if (!Utils::isOk(response))
        return Utils::error(response);
    Http::Response& httpResponse = Utils::value(response);
    if (httpResponse.status != statusOk)
        return statusError("object.get", client_.peer(), httpResponse.status);
    return std::move(httpResponse.body);
}

} // namespace Platform
