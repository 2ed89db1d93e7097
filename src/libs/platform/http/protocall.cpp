#include "protocall.h"

#include "http/blockingclient.h"

#include <google/protobuf/message_lite.h>

namespace Platform::Internal {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;

} // namespace

Utils::Status callProto(Http::BlockingClient& client, std::string_view step, const Http::Request& request,
    google::protobuf::MessageLite& reply)
{
    auto response = client.send(request);
    if (!Utils::isOk(response)) {
        Utils::Error error = Utils::error(response);
        error.step = step;
        return error;
    }
    const Http::Response& httpResponse = Utils::value(response);
    if (httpResponse.status == statusUnavailable)
        return Utils::Error { Utils::ErrorCode::Refused, std::string(step), client.peer(),
            "service unavailable" };
    if (httpResponse.status != statusOk) {
        return Utils::Error { Utils::ErrorCode::Internal, std::string(step), client.peer(),
            "status " + std::to_string(httpResponse.status) };
    }
    if (!reply.ParseFromString(httpResponse.body))
        return Utils::Error { Utils::ErrorCode::Internal, std::string(step), client.peer(),
            "invalid response body" };
    return Utils::success();
}

Http::Request makeProtoRequest(std::string_view target, const google::protobuf::MessageLite& message)
{
    Http::Request request;
    request.method = "POST";
    request.target = target;
    request.headers.push_back({ "Content-Type", "application/x-protobuf" });
    request.body = message.SerializeAsString();
    return request;
}

} // namespace Platform::Internal
