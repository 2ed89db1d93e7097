// checkfuzz runs=20000 seed=1 max_len=65536
// Data from the users' platform: any input results in a value or an error, never in a crash.

#include <platform/base64.h>
#include <platform/callercodec.h>
#include <platform/queuecodec.h>
#include <platform/workercodec.h>
#include <platform/workerentrycodec.h>

#include <http/endpoint.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace {

constexpr std::size_t maxKeyBytes = 200;

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    (void)UsersPlatform::decodeTaskName(text);
    (void)UsersPlatform::decodeReport(text, "peer");
    (void)UsersPlatform::decodeConfiguration(text);
    (void)UsersPlatform::decodeBase64(text);
    Ports::Row row;
    row.name.key = "worker";
    row.value = text;
    (void)UsersPlatform::decodeWorker(row);
    row.name.key = text.substr(0, maxKeyBytes);
    (void)UsersPlatform::decodeWorker(row);
    (void)Http::parseEndpoint(text);
    Http::Request request;
    request.method = "POST";
    request.target = text.substr(0, 40);
    request.body = text;
    (void)UsersPlatform::decodeRequest(request);
    return 0;
}
