#include "peerclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace FleetNode {

namespace {

// A call lasts until the owner's transaction is committed, so a burst needs several connections.
constexpr std::size_t maxConnections = 8;
// A relay's reply has the rows of all nodes, each of which is at most 64 KB.
constexpr std::uint64_t maxReplyBytes = 16U << 20U;
constexpr unsigned statusOk = 200;

} // namespace

PeerClient::PeerClient(NodeContext& context)
    : context_(context)
{
}

void PeerClient::call(const std::string& address, const FleetSchema::PeerRequest& request,
    Utils::Duration timeout, ReplyHandler handler)
{
    std::unique_ptr<Http::Client>& client = clients_[address];
    if (!client) {
        auto endpoint = Http::parseEndpoint(address);
        if (!Utils::isOk(endpoint)) {
            return boost::asio::post(context_.io,
                [handler = std::move(handler), error = Utils::error(endpoint)] { handler(error); });
        }
        client = std::make_unique<Http::Client>(context_.io, Utils::value(endpoint), maxConnections, nullptr,
            Http::ClientLimits { maxReplyBytes, context_.responseBudget });
    }
    Http::Request message;
    message.method = "POST";
    message.target = peerPath;
    message.headers.push_back({ "Content-Type", "application/x-protobuf" });
    message.body = request.SerializeAsString();
    client->send(std::move(message), timeout,
        [address, handler = std::move(handler)](const Utils::Result<Http::Response>& result) {
            if (!Utils::isOk(result))
                return handler(Utils::error(result));
            FleetSchema::PeerReply reply;
            if (Utils::value(result).status == statusOk && reply.ParseFromString(Utils::value(result).body))
                return handler(reply);
            handler(Utils::Error { Utils::ErrorCode::OutcomeUnknown, "peer.call", address,
                "status " + std::to_string(Utils::value(result).status) });
        });
}

} // namespace FleetNode
