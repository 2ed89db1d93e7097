#include "statusapi.h"

#include "http/headers.h"
#include "telemetry/burnreport.h"
#include "telemetry/burntext.h"

#include <boost/json.hpp>

namespace Console {

std::string_view memberStateName(Schema::MemberState state)
{
    switch (state) {
    case Schema::MEMBER_ALIVE:
        return "alive";
    case Schema::MEMBER_SUSPECT:
        return "suspect";
    case Schema::MEMBER_DEAD:
        return "dead";
    case Schema::MEMBER_LEFT:
        return "left";
    default:
        return "unreachable";
    }
}

Http::Response membersResponse(const ConsoleSources& sources)
{
    boost::json::array members;
    for (const Schema::Member& member : sources.members()) {
        members.push_back(boost::json::object { { "name", member.name() }, { "role", member.role() },
            { "region", member.region() }, { "domain", member.domain() }, { "address", member.address() },
            { "port", member.port() }, { "state", memberStateName(member.state()) },
            { "incarnation", member.incarnation() }, { "revision", member.configuration_revision() } });
    }
    return Http::jsonResponse(200, boost::json::serialize(boost::json::object { { "members", members } }));
}

Http::Response burnResponse(const ConsoleSources& sources, std::string_view format)
{
    const Telemetry::BurnReport report = Telemetry::makeBurnReport(sources.fetchBurn());
    if (format == "svg")
        return { 200, { { "Content-Type", "image/svg+xml" } }, Telemetry::burnToSvg(report) };
    if (format == "text")
        return { 200, { { "Content-Type", "text/plain; charset=utf-8" } }, Telemetry::burnToText(report) };
    return Http::jsonResponse(200, Telemetry::burnToJson(report));
}

} // namespace Console
