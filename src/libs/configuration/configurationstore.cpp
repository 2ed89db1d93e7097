#include "configurationstore.h"

#include "platform/tableservice.h"
#include "policy.h"

#include <array>
#include <cstdio>
#include <limits>

namespace Configuration {

namespace {

constexpr std::string_view currentRowKey = "configuration/current";
constexpr std::string_view historyPrefix = "configuration/history/";
constexpr std::uint64_t maxHistoryRevisions = 10000;
constexpr int maxCommitAttempts = 3;

Utils::Error makeError(Utils::ErrorCode code, std::string step, std::string message)
{
    return { code, std::move(step), "table", std::move(message) };
}

// The number in the key decreases with the revision, so that a scan returns the newest revision first.
std::string historyKey(std::uint64_t revision)
{
    std::array<char, 21> digits {};
    std::snprintf(digits.data(), digits.size(), "%020llu",
        static_cast<unsigned long long>(std::numeric_limits<std::uint64_t>::max() - revision));
    return std::string(historyPrefix) + digits.data();
}

Utils::Result<Schema::AcceptedConfiguration> decodeRow(const Schema::Row& row)
{
    Schema::AcceptedConfiguration accepted;
    if (!accepted.ParseFromString(row.value()))
        return makeError(
            Utils::ErrorCode::Internal, "configuration.decode", "row " + row.key() + " is damaged");
    return accepted;
}

Schema::AcceptedConfiguration makeAcceptedConfiguration(const ConfigurationChange& change)
{
    Schema::AcceptedConfiguration accepted;
    accepted.set_revision(change.baseRevision + 1);
    accepted.set_digest(policyDigest(change.text));
    accepted.set_text(change.text);
    accepted.set_author(change.author);
    accepted.set_accepted_unix_ms(change.unixMs);
    accepted.set_write_id(change.writeId);
    return accepted;
}

Schema::CommitRequest makeCommitRequest(
    const Schema::AcceptedConfiguration& accepted, std::uint64_t rowVersion, std::string_view currentKey)
{
    Schema::CommitRequest request;
    request.set_write_id(accepted.write_id());
    const std::string key = historyKey(accepted.revision());
    Schema::RowCondition* currentCondition = request.add_conditions();
    currentCondition->set_key(std::string(currentKey));
    currentCondition->set_version(rowVersion);
    request.add_conditions()->set_key(key);
    const std::string value = accepted.SerializeAsString();
    Schema::RowPut* historyPut = request.add_puts();
    historyPut->set_key(key);
    historyPut->set_value(value);
    Schema::RowPut* currentPut = request.add_puts();
    currentPut->set_key(std::string(currentKey));
    currentPut->set_value(value);
    if (accepted.revision() > maxHistoryRevisions)
        request.add_deletes(historyKey(accepted.revision() - maxHistoryRevisions));
    return request;
}

std::vector<Difference> textDifference(const std::string& before, const std::string& after)
{
    const ParsedPolicy parsedBefore = parsePolicy(before);
    const ParsedPolicy parsedAfter = parsePolicy(after);
    const auto* policyBefore = std::get_if<Schema::PolicyDocument>(&parsedBefore);
    const auto* policyAfter = std::get_if<Schema::PolicyDocument>(&parsedAfter);
    const Schema::PolicyDocument emptyPolicy;
    return difference(policyBefore ? *policyBefore : emptyPolicy, policyAfter ? *policyAfter : emptyPolicy);
}

} // namespace

ConfigurationStore::ConfigurationStore(Platform::TableService& table)
    : table_(table)
{
}

Utils::Result<Schema::AcceptedConfiguration> ConfigurationStore::load() const
{
    const auto row = table_.get(currentRowKey);
    if (!Utils::isOk(row))
        return Utils::error(row);
    return decodeRow(Utils::value(row));
}

Utils::Result<ChangeOutcome> ConfigurationStore::put(const ConfigurationChange& change) const
{
    ParsedPolicy parsed = parsePolicy(change.text);
    if (auto* faults = std::get_if<std::vector<Settings::Fault>>(&parsed))
        return ChangeOutcome(std::move(*faults));
    const auto row = table_.get(currentRowKey);
    if (!Utils::isOk(row))
        return Utils::error(row);
    const auto current = decodeRow(Utils::value(row));
    if (!Utils::isOk(current))
        return Utils::error(current);
    if (Utils::value(current).revision() != change.baseRevision)
        return resolveConflict(change);
    return commit(change, Utils::value(row).version(), currentRowKey);
}

Utils::Result<ChangeOutcome> ConfigurationStore::commit(
    const ConfigurationChange& change, std::uint64_t rowVersion, std::string_view currentKey) const
{
    const Schema::AcceptedConfiguration accepted = makeAcceptedConfiguration(change);
    const Schema::CommitRequest request = makeCommitRequest(accepted, rowVersion, currentKey);
    Utils::Error lastError;
    bool mayBeCommitted = false;
    // Retrying is safe: once the commit takes effect, its conditions on the row versions no longer hold.
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        const auto reply = table_.commit(request);
        if (Utils::isOk(reply)) {
            if (Utils::value(reply).committed())
                return ChangeOutcome(accepted);
            return resolveConflict(change);
        }
        lastError = Utils::error(reply);
        mayBeCommitted = mayBeCommitted || lastError.code == Utils::ErrorCode::OutcomeUnknown;
    }
    if (mayBeCommitted)
        lastError.code = Utils::ErrorCode::OutcomeUnknown;
    return lastError;
}

// Returns the outcome of a change whose base is not the newest revision. The revision after the base is
// either this change, committed by an earlier attempt, or a conflicting one.
Utils::Result<ChangeOutcome> ConfigurationStore::resolveConflict(const ConfigurationChange& change) const
{
    const auto next = table_.get(historyKey(change.baseRevision + 1));
    if (!Utils::isOk(next))
        return makeError(
            Utils::ErrorCode::OutcomeUnknown, "configuration.resolve", Utils::error(next).message);
    if (Utils::value(next).version() != 0 && Utils::value(next).write_id() == change.writeId) {
        const auto accepted = decodeRow(Utils::value(next));
        if (!Utils::isOk(accepted))
            return Utils::error(accepted);
        return ChangeOutcome(Utils::value(accepted));
    }
    const auto inForce = load();
    if (!Utils::isOk(inForce))
        return Utils::error(inForce);
    if (Utils::value(inForce).revision() > change.baseRevision + maxHistoryRevisions) {
        return makeError(Utils::ErrorCode::OutcomeUnknown, "configuration.resolve",
            "the history of the base revision is no longer kept");
    }
    ChangeConflict changeConflict { Utils::value(inForce), {}, {} };
    const auto base = revision(change.baseRevision);
    if (Utils::isOk(base))
        changeConflict.changedSinceBase
            = textDifference(Utils::value(base).text(), changeConflict.inForce.text());
    changeConflict.requestedChanges = textDifference(changeConflict.inForce.text(), change.text);
    return ChangeOutcome(std::move(changeConflict));
}

Utils::Result<std::vector<Schema::AcceptedConfiguration>> ConfigurationStore::history(
    std::uint64_t beforeRevision, std::uint32_t limit) const
{
    const std::string after = beforeRevision == 0 ? std::string() : historyKey(beforeRevision);
    const auto reply = table_.scan(historyPrefix, after, limit);
    if (!Utils::isOk(reply))
        return Utils::error(reply);
    std::vector<Schema::AcceptedConfiguration> entries;
    for (const Schema::Row& row : Utils::value(reply).rows()) {
        const auto entry = decodeRow(row);
        if (!Utils::isOk(entry))
            return Utils::error(entry);
        entries.push_back(Utils::value(entry));
    }
    return entries;
}

Utils::Result<Schema::AcceptedConfiguration> ConfigurationStore::revision(std::uint64_t revision) const
{
    const auto row = table_.get(historyKey(revision));
    if (!Utils::isOk(row))
        return Utils::error(row);
    if (Utils::value(row).version() == 0) {
        return makeError(Utils::ErrorCode::NotFound, "configuration.revision",
            "revision " + std::to_string(revision) + " is not kept");
    }
    return decodeRow(Utils::value(row));
}

} // namespace Configuration
