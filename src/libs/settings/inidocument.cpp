#include "inidocument.h"

#include <algorithm>
#include <optional>

namespace Settings {

namespace {

constexpr std::string_view blanks = " \t\r";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

IniSection makeSection(std::string_view header)
{
    IniSection section;
    const std::size_t kindEnd = header.find_first_of(blanks);
    section.kind = header.substr(0, kindEnd);
    if (kindEnd != std::string_view::npos)
        section.name = trimmed(header.substr(kindEnd));
    return section;
}

// Takes one line that is neither blank nor a comment; returns what is wrong with it.
std::optional<std::string> takeLine(std::string_view line, std::vector<IniSection>& sections)
{
    if (line.front() == '[') {
        if (line.back() != ']' || trimmed(line.substr(1, line.size() - 2)).empty())
            return "a section header must be [kind] or [kind name]";
        sections.push_back(makeSection(trimmed(line.substr(1, line.size() - 2))));
        return std::nullopt;
    }
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos || trimmed(line.substr(0, equals)).empty())
        return "must be a section header or key = value";
    if (sections.empty())
        return "stands before the first section";
    sections.back().entries.push_back(
        { std::string(trimmed(line.substr(0, equals))), std::string(trimmed(line.substr(equals + 1))) });
    return std::nullopt;
}

} // namespace

std::string IniSection::header() const
{
    return name.empty() ? kind : kind + " " + name;
}

std::variant<IniDocument, Fault> parseIni(std::string_view text, std::string_view file)
{
    IniDocument document { std::string(file), {} };
    std::size_t lineNumber = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        ++lineNumber;
        if (line.empty() || line.front() == ';' || line.front() == '#')
            continue;
        if (const auto problem = takeLine(line, document.sections))
            return Fault { document.file, {}, {}, "line " + std::to_string(lineNumber) + ": " + *problem };
    }
    return document;
}

} // namespace Settings
