#include "httpvmlist.h"

#include "protocall.h"

namespace Platform {

HttpVmList::HttpVmList(Http::ClientOptions options)
    : client_(std::move(options))
{
}

Utils::Result<Schema::VmListReply> HttpVmList::list()
{
    Http::Request request;
    request.target = "/vms";
    Schema::VmListReply reply;
    const auto status = Internal::callProto(client_, "vms.list", request, reply);
    if (!Utils::isOk(status))
        return Utils::error(status);
    return reply;
}

} // namespace Platform
