#include "httptableservice.h"

#include "protocall.h"

#include "http/target.h"

namespace Platform {

HttpTableService::HttpTableService(Http::ClientOptions options)
    : client_(std::move(options))
{
}

Utils::Result<Schema::Row> HttpTableService::get(std::string_view key)
{
    Http::Request request;
    request.target = "/table/row?key=" + Http::encodeQuery(key);
    Schema::Row row;
    const auto status = Internal::callProto(client_, "table.get", request, row);
    if (!Utils::isOk(status))
        return Utils::error(status);
    return row;
}

Utils::Result<Schema::ScanReply> HttpTableService::scan(
    std::string_view prefix, std::string_view after, std::uint32_t limit)
{
    Http::Request request;
    request.target = "/table/scan?prefix=" + Http::encodeQuery(prefix) + "&after=" + Http::encodeQuery(after)
        + "&limit=" + std::to_string(limit);
    Schema::ScanReply reply;
    const auto status = Internal::callProto(client_, "table.scan", request, reply);
    if (!Utils::isOk(status))
        return Utils::error(status);
    return reply;
}

Utils::Result<Schema::CommitReply> HttpTableService::commit(const Schema::CommitRequest& request)
{
    Schema::CommitReply reply;
    const auto status = Internal::callProto(
        client_, "table.commit", Internal::makeProtoRequest("/table/commit", request), reply);
    if (!Utils::isOk(status))
        return Utils::error(status);
    return reply;
}

} // namespace Platform
