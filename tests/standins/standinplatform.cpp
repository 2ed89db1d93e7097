#include "standinserver.h"

#include "http/headers.h"
#include "platform/memorytable.h"

#include <boost/asio/io_context.hpp>
#include <google/protobuf/util/json_util.h>

#include <cstdlib>

namespace StandIns {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

Http::Response protoResponse(const google::protobuf::MessageLite& message)
{
    return { statusOk, { { "Content-Type", "application/x-protobuf" } }, message.SerializeAsString() };
}

/*
    In-memory implementation of the platform's table service, object store and VM list.

    Faults: down=1 (respond with 503 to all requests), silent=1 (never respond), slow=MS (delay of
    each response), lose-answer=N (the next N commits take effect, but get no response).
*/
class PlatformStandIn {
public:
    PlatformStandIn(Faults& faults, boost::asio::io_context& context)
        : faults_(faults)
        , context_(context)
    {
    }

    void handle(const Http::Request& request, const Http::Target& target, const Http::Responder& respond)
    {
        if (target.path == "/stats")
            return respond(stats());
        if (target.path == "/vms" && request.method == "PUT")
            return respond(replaceVms(request));
        if (faults_.value("silent") != 0)
            return;
        if (faults_.value("down") != 0)
            return respond({ statusUnavailable, {}, {} });
        Http::Response response = makeResponse(request, target);
        if (target.path == "/table/commit" && faults_.consume("lose-answer"))
            return;
        respondAfter(context_, faults_.value("slow"), respond, std::move(response));
    }

private:
    Http::Response makeResponse(const Http::Request& request, const Http::Target& target)
    {
        if (target.path == "/table/row")
            return protoResponse(Utils::value(table_.get(target.value("key"))));
        if (target.path == "/table/scan")
            return scan(target);
        if (target.path == "/table/commit")
            return commit(request);
        if (target.path == "/vms")
            return protoResponse(vms_);
        if (target.path.starts_with("/objects/"))
            return object(request, target.path);
        return { statusNotFound, {}, {} };
    }

    Http::Response scan(const Http::Target& target)
    {
        const auto limit = static_cast<std::uint32_t>(std::atol(std::string(target.value("limit")).c_str()));
        ++scanCount_;
        return protoResponse(Utils::value(table_.scan(target.value("prefix"), target.value("after"), limit)));
    }

    Http::Response commit(const Http::Request& request)
    {
        Schema::CommitRequest commit;
        if (!commit.ParseFromString(request.body))
            return { statusBadRequest, {}, {} };
        return protoResponse(Utils::value(table_.commit(commit)));
    }

    Http::Response object(const Http::Request& request, const std::string& path)
    {
        if (request.method == "PUT") {
            objects_[path] = request.body;
            return { statusOk, {}, {} };
        }
        const auto found = objects_.find(path);
        if (found == objects_.end())
            return { statusNotFound, {}, {} };
        return { statusOk, {}, found->second };
    }

    // Replaces the VM list by the one that a test sends as JSON.
    Http::Response replaceVms(const Http::Request& request)
    {
        Schema::VmListReply list;
        if (!google::protobuf::util::JsonStringToMessage(request.body, &list).ok())
            return { statusBadRequest, {}, {} };
        list.set_generation(vms_.generation() + 1);
        vms_ = list;
        return Http::jsonResponse(statusOk, "{}");
    }

    Http::Response stats() const
    {
        return Http::jsonResponse(statusOk,
            "{\"commits\":" + std::to_string(table_.commitCount())
                + ",\"scans\":" + std::to_string(scanCount_) + "}");
    }

    Faults& faults_;
    boost::asio::io_context& context_;
    Platform::MemoryTable table_;
    std::map<std::string, std::string> objects_;
    Schema::VmListReply vms_;
    std::uint64_t scanCount_ = 0;
};

} // namespace

} // namespace StandIns

int main(int argc, char** argv)
{
    boost::asio::io_context context(1);
    StandIns::Faults faults;
    StandIns::PlatformStandIn platform(faults, context);
    return StandIns::runStandIn(argc, argv, "standin-platform", faults, context,
        [&platform](const Http::Request& request, const Http::Target& target,
            const Http::Responder& respond) { platform.handle(request, target, respond); });
}
