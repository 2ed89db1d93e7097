#include "output.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace Control {

namespace {

namespace Json = boost::json;

std::string toText(const Json::value& value)
{
    return value.is_string() ? std::string(value.as_string()) : Json::serialize(value);
}

std::string toText(const Json::object& object, const char* name)
{
    const Json::value* value = object.if_contains(name);
    return value ? toText(*value) : std::string();
}

const Json::array& arrayMember(const Json::object& object, const char* name)
{
    static const Json::array emptyArray;
    const Json::value* value = object.if_contains(name);
    return value && value->is_array() ? value->get_array() : emptyArray;
}

Json::object parseObject(const std::string& body)
{
    std::error_code code;
    const Json::value value = Json::parse(body, code);
    return !code && value.is_object() ? value.get_object() : Json::object();
}

void printDifferences(const Json::object& object, const char* name, const char* title)
{
    for (const Json::value& entry : arrayMember(object, name)) {
        const Json::object& difference = entry.as_object();
        std::cerr << title << " [" << toText(difference, "section") << "] " << toText(difference, "key")
                  << ": '" << toText(difference, "before") << "' -> '" << toText(difference, "after")
                  << "'\n";
    }
}

} // namespace

int exitCodeForStatus(unsigned status)
{
    switch (status) {
    case 400:
    case 422:
        return ExitInvalid;
    case 401:
    case 403:
        return ExitUnauthorized;
    case 404:
        return ExitNotFound;
    case 409:
    case 412:
        return ExitConflict;
    case 428:
        return ExitUsage;
    case 504:
        return ExitOutcomeUnknown;
    default:
        return status >= 200 && status < 300 ? ExitSuccess : ExitUnavailable;
    }
}

int printFailure(const Http::Response& response, bool json)
{
    const int exitCode = exitCodeForStatus(response.status);
    if (json) {
        std::cout << response.body << "\n";
        return exitCode;
    }
    const Json::object object = parseObject(response.body);
    std::cerr << "gqctl: " << toText(object, "error") << " at " << toText(object, "step") << ": "
              << toText(object, "message") << "\n";
    for (const Json::value& entry : arrayMember(object, "faults")) {
        const Json::object& fault = entry.as_object();
        std::cerr << "[" << toText(fault, "section") << "] " << toText(fault, "key") << ": "
                  << toText(fault, "message") << "\n";
    }
    printDifferences(object, "changed_since_base", "accepted meanwhile:");
    printDifferences(object, "wanted", "not taken:");
    if (exitCode == ExitOutcomeUnknown)
        std::cerr << "repeat with --write-id " << toText(object, "write_id") << "\n";
    return exitCode;
}

int printError(const Utils::Error& error)
{
    std::cerr << "gqctl: " << error.toString() << "\n";
    return error.code == Utils::ErrorCode::OutcomeUnknown ? ExitOutcomeUnknown : ExitUnavailable;
}

void printTable(const std::string& body, const std::string& array, std::span<const char* const> columns)
{
    const Json::object object = parseObject(body);
    std::vector<std::vector<std::string>> rows { { columns.begin(), columns.end() } };
    for (const Json::value& entry : arrayMember(object, array.c_str())) {
        std::vector<std::string>& row = rows.emplace_back();
        for (const char* column : columns)
            row.push_back(toText(entry.as_object(), column));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
        std::cout << "\n";
    }
}

void printJsonText(const std::string& revision, const std::string& text)
{
    std::cout << Json::serialize(Json::object { { "revision", std::stoull(revision) }, { "text", text } })
              << "\n";
}

void printFaults(std::span<const Settings::Fault> faults, bool json)
{
    if (!json) {
        std::cerr << Settings::faultsToString(faults);
        return;
    }
    Json::array array;
    for (const Settings::Fault& fault : faults) {
        array.push_back(Json::object {
            { "section", fault.section }, { "key", fault.key }, { "message", fault.message } });
    }
    std::cout << Json::serialize(Json::object { { "faults", array } }) << "\n";
}

void printObject(const std::string& body)
{
    for (const auto& member : parseObject(body))
        std::cout << member.key() << ": " << toText(member.value()) << "\n";
}

} // namespace Control
