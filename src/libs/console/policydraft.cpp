#include "policydraft.h"

#include <policy.pb.h>

#include <algorithm>

namespace Console {

namespace {

constexpr std::string_view sectionField = "section";
constexpr std::string_view kindField = "kind";
constexpr std::string_view nameField = "name";
constexpr std::string_view removeField = "remove";
constexpr std::string_view keyPrefix = "key.";

// Replaces line breaks in a value, which would start another entry in the INI text.
std::string replaceLineBreaks(std::string text)
{
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

} // namespace

std::variant<PolicyDraft, Settings::Fault> PolicyDraft::parse(std::string_view text)
{
    auto document = Settings::parseIni(text, "policy");
    if (auto* fault = std::get_if<Settings::Fault>(&document))
        return *fault;
    PolicyDraft draft;
    draft.document_ = std::get<Settings::IniDocument>(std::move(document));
    return draft;
}

void PolicyDraft::apply(const FormData& form)
{
    Settings::IniSection section { replaceLineBreaks(fieldValue(form, kindField)),
        replaceLineBreaks(fieldValue(form, nameField)), {} };
    for (const auto& [name, value] : form) {
        if (name.starts_with(keyPrefix) && !value.empty())
            section.entries.push_back(
                { replaceLineBreaks(name.substr(keyPrefix.size())), replaceLineBreaks(value) });
    }
    auto& sections = document_.sections;
    const std::string header = fieldValue(form, sectionField);
    const auto found = std::find_if(sections.begin(), sections.end(),
        [&](const Settings::IniSection& candidate) { return candidate.header() == header; });
    if (form.contains(removeField)) {
        if (found != sections.end())
            sections.erase(found);
        return;
    }
    if (found == sections.end() || header.empty())
        sections.push_back(std::move(section));
    else
        found->entries = std::move(section.entries);
}

std::string PolicyDraft::toText() const
{
    std::string text;
    for (const Settings::IniSection& section : document_.sections) {
        text += "[" + section.header() + "]\n";
        for (const Settings::IniEntry& entry : section.entries)
            text += entry.key + " = " + entry.value + "\n";
        text += "\n";
    }
    return text;
}

const Settings::IniDocument& PolicyDraft::document() const
{
    return document_;
}

} // namespace Console
