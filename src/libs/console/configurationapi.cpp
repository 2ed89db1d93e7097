#include "configurationapi.h"

#include "http/headers.h"
#include "http/target.h"
#include "utils/identifiers.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace Console {

namespace {

constexpr unsigned statusNotFound = 404;
constexpr unsigned statusPreconditionFailed = 412;
constexpr unsigned statusPreconditionRequired = 428;
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr std::uint32_t defaultPageSize = 20;
constexpr std::uint32_t maxPageSize = 200;

boost::json::object errorJson(const Utils::Error& error)
{
    return { { "error", Utils::errorCodeName(error.code) }, { "step", error.step }, { "peer", error.peer },
        { "message", error.message } };
}

Http::Response errorResponse(unsigned status, const Utils::Error& error)
{
    return Http::jsonResponse(status, boost::json::serialize(errorJson(error)));
}

boost::json::array differencesJson(const std::vector<Configuration::Difference>& differences)
{
    boost::json::array array;
    for (const Configuration::Difference& difference : differences) {
        array.push_back(boost::json::object { { "section", difference.section }, { "key", difference.key },
            { "before", difference.before }, { "after", difference.after } });
    }
    return array;
}

boost::json::object acceptedJson(const Schema::AcceptedConfiguration& accepted)
{
    return { { "revision", accepted.revision() }, { "digest", accepted.digest() },
        { "author", accepted.author() }, { "accepted_unix_ms", accepted.accepted_unix_ms() },
        { "write_id", accepted.write_id() } };
}

Http::Response conflictResponse(const Configuration::ChangeConflict& conflict)
{
    Http::Response response = Http::jsonResponse(statusPreconditionFailed,
        boost::json::serialize(boost::json::object { { "error", "conflict" }, { "step", "configuration.put" },
            { "peer", "" }, { "message", "another change was accepted first" },
            { "revision", conflict.inForce.revision() },
            { "changed_since_base", differencesJson(conflict.changedSinceBase) },
            { "wanted", differencesJson(conflict.requestedChanges) } }));
    response.headers.push_back({ "ETag", entityTag(conflict.inForce) });
    return response;
}

Http::Response faultsResponse(const std::vector<Settings::Fault>& faults)
{
    boost::json::array array;
    for (const Settings::Fault& fault : faults) {
        array.push_back(boost::json::object {
            { "section", fault.section }, { "key", fault.key }, { "message", fault.message } });
    }
    return Http::jsonResponse(statusUnprocessable,
        boost::json::serialize(boost::json::object { { "error", "invalid-argument" },
            { "step", "configuration.validate" }, { "peer", "" }, { "faults", array } }));
}

// Returns the revision of an entity tag "REVISION-DIGEST", which is sufficient to identify the base.
std::optional<std::uint64_t> parseTagRevision(std::string_view tag)
{
    if (tag.starts_with('"'))
        tag.remove_prefix(1);
    std::uint64_t revision = 0;
    const auto [end, code] = std::from_chars(tag.data(), tag.data() + tag.size(), revision);
    return code == std::errc {} ? std::optional(revision) : std::nullopt;
}

template <typename Number> Number parseNumberOr(std::string_view text, Number fallback)
{
    Number number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    return code == std::errc {} ? number : fallback;
}

} // namespace

std::string entityTag(const Schema::AcceptedConfiguration& accepted)
{
    return "\"" + std::to_string(accepted.revision()) + "-" + accepted.digest() + "\"";
}

std::int64_t currentUnixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

ConfigurationApi::ConfigurationApi(ConsoleSources& sources)
    : sources_(sources)
    , store_(sources.table)
{
}

Http::Response ConfigurationApi::get() const
{
    const auto loaded = store_.load();
    const Schema::AcceptedConfiguration accepted
        = Utils::isOk(loaded) ? Utils::value(loaded) : sources_.inForce();
    if (accepted.revision() == 0 && !Utils::isOk(loaded))
        return errorResponse(statusUnavailable, Utils::error(loaded));
    if (accepted.revision() == 0) {
        return errorResponse(statusNotFound,
            { Utils::ErrorCode::NotFound, "configuration.get", {},
                "no configuration has been accepted yet" });
    }
    Http::Response response;
    response.headers = { { "Content-Type", "text/plain; charset=utf-8" }, { "ETag", entityTag(accepted) },
        { "Geraniumquay-Source", Utils::isOk(loaded) ? "table" : "in-force" } };
    response.body = accepted.text();
    return response;
}

Http::Response ConfigurationApi::put(const Http::Request& request) const
{
    Configuration::ConfigurationChange change;
    change.text = request.body;
    change.unixMs = currentUnixMs();
    change.author = Http::findHeader(request.headers, "Geraniumquay-Operator").value_or("operator");
    change.writeId = Http::findHeader(request.headers, "Idempotency-Key").value_or("");
    if (change.writeId.empty())
        change.writeId = Utils::makeUniqueId();
    const auto tag = Http::findHeader(request.headers, "If-Match");
    const auto base = tag ? parseTagRevision(*tag) : std::optional<std::uint64_t>(0);
    change.baseRevision = base.value_or(0);
    const auto outcome = store_.put(change);
    if (!Utils::isOk(outcome)) {
        const bool isOutcomeUnknown = Utils::error(outcome).code == Utils::ErrorCode::OutcomeUnknown;
        boost::json::object body = errorJson(Utils::error(outcome));
        body["write_id"] = change.writeId;
        return Http::jsonResponse(
            isOutcomeUnknown ? statusGatewayTimeout : statusUnavailable, boost::json::serialize(body));
    }
    if (const auto* faults = std::get_if<std::vector<Settings::Fault>>(&Utils::value(outcome)))
        return faultsResponse(*faults);
    if (const auto* conflict = std::get_if<Configuration::ChangeConflict>(&Utils::value(outcome))) {
        if (tag)
            return conflictResponse(*conflict);
        return errorResponse(statusPreconditionRequired,
            { Utils::ErrorCode::InvalidArgument, "configuration.put", {},
                "If-Match with the entity tag is needed" });
    }
    sources_.changeAccepted();
    const auto& accepted = std::get<Schema::AcceptedConfiguration>(Utils::value(outcome));
    Http::Response response = Http::jsonResponse(200, boost::json::serialize(acceptedJson(accepted)));
    response.headers.push_back({ "ETag", entityTag(accepted) });
    return response;
}

Http::Response ConfigurationApi::history(const Http::Request& request) const
{
    const Http::Target target = Http::parseTarget(request.target);
    const auto before = parseNumberOr<std::uint64_t>(target.value("before"), 0);
    const auto limit
        = std::clamp(parseNumberOr<std::uint32_t>(target.value("limit"), defaultPageSize), 1U, maxPageSize);
    const auto entries = store_.history(before, limit);
    if (!Utils::isOk(entries))
        return errorResponse(statusUnavailable, Utils::error(entries));
    boost::json::array array;
    for (const Schema::AcceptedConfiguration& entry : Utils::value(entries)) {
        boost::json::object object = acceptedJson(entry);
        object["text"] = entry.text();
        array.push_back(std::move(object));
    }
    return Http::jsonResponse(200, boost::json::serialize(boost::json::object { { "history", array } }));
}

} // namespace Console
