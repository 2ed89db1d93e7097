#include "consolepages.h"

#include "configuration/policy.h"
#include "configurationapi.h"
#include "html.h"
#include "policydraft.h"
#include "policyforms.h"
#include "statusapi.h"
#include "telemetry/burnreport.h"
#include "telemetry/burntext.h"
#include "utils/identifiers.h"

#include <charconv>
#include <ctime>
#include <sstream>

namespace Console {

namespace {

constexpr unsigned statusPreconditionFailed = 412;
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusUnauthorized = 401;
constexpr std::uint32_t historyPageSize = 50;

Http::Response page(unsigned status, std::string_view title, const std::string& content)
{
    return { status, { { "Content-Type", "text/html; charset=utf-8" } }, htmlPage(title, content) };
}

std::string notice(const std::string& text, bool isError)
{
    return "<p class=\"notice" + std::string(isError ? " error" : "") + "\" role=\"status\">"
        + escapeHtml(text) + "</p>\n";
}

Http::Response errorPage(const Utils::Error& error)
{
    return page(statusUnavailable, "Not available", notice(error.toString(), true));
}

std::uint64_t numberField(const FormData& form, std::string_view name)
{
    const std::string text = fieldValue(form, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string formatTime(std::int64_t unixMs)
{
    const std::time_t seconds = unixMs / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return { text, length };
}

std::string differenceTable(const std::vector<Configuration::Difference>& differences)
{
    if (differences.empty())
        return "<p>No key differs.</p>";
    std::ostringstream out;
    out << "<table><thead><tr><th>Section</th><th>Key</th><th>Before</th><th>After</th></tr></thead><tbody>";
    for (const Configuration::Difference& entry : differences) {
        out << "<tr><td>" << escapeHtml(entry.section) << "</td><td>" << escapeHtml(entry.key) << "</td><td>"
            << escapeHtml(entry.before) << "</td><td>" << escapeHtml(entry.after) << "</td></tr>";
    }
    out << "</tbody></table>\n";
    return out.str();
}

Schema::PolicyDocument parsePolicyOrEmpty(const std::string& text)
{
    auto parsed = Configuration::parsePolicy(text);
    auto* policy = std::get_if<Schema::PolicyDocument>(&parsed);
    return policy ? std::move(*policy) : Schema::PolicyDocument();
}

std::string postButton(
    const std::string& action, const std::string& hidden, const std::string& label, bool isPlain)
{
    return "<form method=\"post\" action=\"" + action + "\" style=\"display:inline\">" + hidden + "<button"
        + (isPlain ? " class=\"plain\"" : "") + ">" + label + "</button></form>\n";
}

std::string burnTable(const Telemetry::BurnReport& report)
{
    std::ostringstream out;
    out << "<table><thead><tr><th>Service</th><th>Objective</th><th>Budget left</th><th>Burn rates</th>"
           "<th>Largest causes</th></tr></thead><tbody>";
    for (const Telemetry::ObjectiveBurn& burn : report.objectives) {
        out << "<tr><td>" << escapeHtml(burn.service) << "</td><td>" << escapeHtml(burn.objective) << " "
            << burn.percent << "% in " << burn.latencyMs << " ms</td><td>" << burn.remainingBudget * 100
            << "%</td><td>";
        for (const Telemetry::WindowBurn& window : burn.windows)
            out << window.windowS / 60 << " min: " << window.burnRate << "<br>";
        out << "</td><td>";
        for (const Telemetry::CauseCount& cause : burn.causes)
            out << escapeHtml(cause.cause) << ": " << cause.count << "<br>";
        out << "</td></tr>";
    }
    out << "</tbody></table><p>Summed over " << report.sources << " processes.</p>";
    return out.str();
}

} // namespace

ConsolePages::ConsolePages(ConsoleSources& sources)
    : sources_(sources)
    , store_(sources.table)
{
}

Http::Response ConsolePages::policy(const std::string& formToken) const
{
    const auto loaded = store_.load();
    const auto newest = Utils::isOk(loaded) ? Utils::value(loaded) : sources_.inForce();
    return forms(newest.text(), newest.revision(), formToken, 200);
}

Http::Response ConsolePages::edit(const FormData& form, const std::string& formToken) const
{
    return forms(fieldValue(form, "draft"), numberField(form, "base"), formToken, 200);
}

Http::Response ConsolePages::forms(
    const std::string& text, std::uint64_t baseRevision, const std::string& formToken, unsigned status) const
{
    const auto draft = PolicyDraft::parse(text);
    if (const auto* fault = std::get_if<Settings::Fault>(&draft))
        return page(statusUnprocessable, "Policy", notice(fault->toString(), true));
    std::vector<Settings::Fault> faults;
    const auto parsed = Configuration::parsePolicy(text);
    // An empty text means that nothing has been accepted yet, which is not a fault.
    if (const auto* found = std::get_if<std::vector<Settings::Fault>>(&parsed); found && !text.empty())
        faults = *found;
    const Schema::AcceptedConfiguration inForce = sources_.inForce();
    std::string content = notice("Revision " + std::to_string(inForce.revision())
            + " is in force at this console; "
            + (baseRevision == 0 ? std::string("nothing has been accepted yet.")
                                 : "these forms start from revision " + std::to_string(baseRevision) + "."),
        false);
    if (!faults.empty()) {
        content += notice(std::to_string(faults.size())
                + " faults must be put right before this can be accepted; they stand beside their fields:",
            true);
        content += "<ul>";
        for (const Settings::Fault& fault : faults)
            content += "<li>" + escapeHtml("[" + fault.section + "] " + fault.key + ": " + fault.message)
                + "</li>";
        content += "</ul>";
    }
    content += policyForms(std::get<PolicyDraft>(draft), faults, { baseRevision, formToken });
    return page(status, "Policy", content);
}

Http::Response ConsolePages::preview(const FormData& form, const std::string& formToken) const
{
    auto parsedDraft = PolicyDraft::parse(fieldValue(form, "draft"));
    if (const auto* fault = std::get_if<Settings::Fault>(&parsedDraft))
        return page(statusUnprocessable, "Policy", notice(fault->toString(), true));
    auto& draft = std::get<PolicyDraft>(parsedDraft);
    draft.apply(form);
    const std::string text = draft.toText();
    const std::uint64_t base = numberField(form, "base");
    const auto parsed = Configuration::parsePolicy(text);
    if (std::holds_alternative<std::vector<Settings::Fault>>(parsed))
        return forms(text, base, formToken, statusUnprocessable);
    const auto loaded = store_.load();
    if (!Utils::isOk(loaded))
        return errorPage(Utils::error(loaded));
    const auto& newest = Utils::value(loaded);
    std::string content = "<h2>Difference to revision " + std::to_string(newest.revision()) + "</h2>\n";
    if (newest.revision() != base)
        content += notice(
            "Revision " + std::to_string(newest.revision()) + " was accepted after these forms were opened.",
            true);
    content += differenceTable(Configuration::difference(
        parsePolicyOrEmpty(newest.text()), std::get<Schema::PolicyDocument>(parsed)));
    const std::string hidden = hiddenState(text, { base, formToken });
    content
        += postButton("/accept", hidden + hiddenInput("write_id", Utils::makeUniqueId()), "Accept", false);
    content += postButton("/edit", hidden, "Change more", true);
    content += "<p><a href=\"/\">Discard</a></p><details><summary>Whole document</summary><pre>"
        + escapeHtml(text) + "</pre></details>";
    return page(200, "Review change", content);
}

Http::Response ConsolePages::accept(const FormData& form, const std::string& formToken) const
{
    Configuration::ConfigurationChange change;
    change.text = fieldValue(form, "draft");
    change.baseRevision = numberField(form, "base");
    change.author = "console";
    change.unixMs = currentUnixMs();
    change.writeId = fieldValue(form, "write_id");
    if (change.writeId.empty())
        change.writeId = Utils::makeUniqueId();
    const auto outcome = store_.put(change);
    if (!Utils::isOk(outcome)) {
        return page(statusUnavailable, "Not accepted yet",
            notice(Utils::error(outcome).toString(), true)
                + "<p>Sending it again is safe: the same change is accepted at most once.</p>"
                + postButton("/accept",
                    hiddenState(change.text, { change.baseRevision, formToken })
                        + hiddenInput("write_id", change.writeId),
                    "Send again", false));
    }
    if (std::holds_alternative<std::vector<Settings::Fault>>(Utils::value(outcome)))
        return forms(change.text, change.baseRevision, formToken, statusUnprocessable);
    if (const auto* conflict = std::get_if<Configuration::ChangeConflict>(&Utils::value(outcome))) {
        const std::string newest = std::to_string(conflict->inForce.revision());
        return page(statusPreconditionFailed, "Another change was accepted first",
            notice("Revision " + newest
                    + " was accepted after these forms were opened. Nothing of your change was taken.",
                true)
                + "<h2>What was accepted meanwhile</h2>" + differenceTable(conflict->changedSinceBase)
                + "<h2>What your change would alter in revision " + newest + "</h2>"
                + differenceTable(conflict->requestedChanges) + "<p><a href=\"/\">Start again from revision "
                + newest + "</a></p>");
    }
    sources_.changeAccepted();
    return { 303, { { "Location", "/history" } }, {} };
}

Http::Response ConsolePages::history(std::uint64_t beforeRevision) const
{
    const auto entries = store_.history(beforeRevision, historyPageSize);
    if (!Utils::isOk(entries))
        return errorPage(Utils::error(entries));
    std::ostringstream out;
    out << "<table><thead><tr><th>Revision</th><th>Accepted</th><th>By</th></tr></thead><tbody>";
    for (const Schema::AcceptedConfiguration& entry : Utils::value(entries)) {
        out << "<tr><td><a href=\"/history?revision=" << entry.revision() << "\">" << entry.revision()
            << "</a></td><td>" << formatTime(entry.accepted_unix_ms()) << "</td><td>"
            << escapeHtml(entry.author()) << "</td></tr>";
    }
    out << "</tbody></table>";
    if (Utils::value(entries).size() == historyPageSize)
        out << "<p><a href=\"/history?before=" << Utils::value(entries).back().revision()
            << "\">Older</a></p>";
    return page(200, "History", out.str());
}

Http::Response ConsolePages::revision(std::uint64_t revision) const
{
    const auto entry = store_.revision(revision);
    if (!Utils::isOk(entry))
        return errorPage(Utils::error(entry));
    const auto previous = store_.revision(revision - 1);
    const std::string beforeText = Utils::isOk(previous) ? Utils::value(previous).text() : std::string();
    const std::string content = "<h2>Difference to the revision before</h2>"
        + differenceTable(Configuration::difference(
            parsePolicyOrEmpty(beforeText), parsePolicyOrEmpty(Utils::value(entry).text())))
        + "<h2>Document</h2><pre>" + escapeHtml(Utils::value(entry).text()) + "</pre>";
    return page(200, "Revision " + std::to_string(revision), content);
}

Http::Response ConsolePages::members() const
{
    std::ostringstream out;
    out << "<p>Revision " << sources_.inForce().revision()
        << " is in force at this console.</p><table><thead><tr><th>Member</th><th>Role</th><th>Region</th>"
           "<th>Failure domain</th><th>State</th><th>Revision in force</th></tr></thead><tbody>";
    for (const Schema::Member& member : sources_.members()) {
        out << "<tr><td>" << escapeHtml(member.name()) << "</td><td>" << escapeHtml(member.role())
            << "</td><td>" << escapeHtml(member.region()) << "</td><td>" << escapeHtml(member.domain())
            << "</td><td>" << memberStateName(member.state()) << "</td><td>"
            << member.configuration_revision() << "</td></tr>";
    }
    out << "</tbody></table>";
    return page(200, "Members", out.str());
}

Http::Response ConsolePages::burn() const
{
    const Telemetry::BurnReport report = Telemetry::makeBurnReport(sources_.fetchBurn());
    return page(200, "Service-level burn", burnTable(report) + Telemetry::burnToSvg(report));
}

Http::Response ConsolePages::login(bool isRejected)
{
    const std::string content = (isRejected ? notice("This token is not valid.", true) : std::string())
        + "<form class=\"part\" method=\"post\" action=\"/login\"><div class=\"field\"><label "
          "for=\"token\">Operator "
          "token</label><input type=\"password\" id=\"token\" name=\"token\" "
          "autocomplete=\"current-password\" "
          "required><small>From the file that operator_token_file names</small></div><button>Sign "
          "in</button></form>";
    return page(isRejected ? statusUnauthorized : 200, "Sign in", content);
}

} // namespace Console
