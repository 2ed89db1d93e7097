#include "inidocument.h"

#include <algorithm>
#include <optional>

namespace Settings {

namespace {

constexpr std::string_view whitespace = " \t\r";

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

IniSection makeSection(std::string_view header)
{
    IniSection section;
    const std::size_t kindEnd = header.find_first_of(whitespace);
    section.kind = header.substr(0, kindEnd);
    if (kindEnd != std::string_view::npos)
        section.name = trim(header.substr(kindEnd));
    return section;
}

// Parses a line that is neither blank nor a comment; returns an error message if it is invalid.
std::optional<std::string> parseLine(std::string_view line, std::vector<IniSection>& sections)
{
    if (line.front() == '[') {
        if (line.back() != ']' || trim(line.substr(1, line.size() - 2)).empty())
            return "a section header must be [kind] or [kind name]";
        sections.push_back(makeSection(trim(line.substr(1, line.size() - 2))));
        return std::nullopt;
    }
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos || trim(line.substr(0, equals)).empty())
        return "must be a section header or key = value";
    if (sections.empty())
        return "stands before the first section";
    sections.back().entries.push_back(
        { std::string(trim(line.substr(0, equals))), std::string(trim(line.substr(equals + 1))) });
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
        const std::string_view line = trim(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        ++lineNumber;
        if (line.empty() || line.front() == ';' || line.front() == '#')
            continue;
        if (const auto errorMessage = parseLine(line, document.sections))
            return Fault { document.file, {}, {},
                "line " + std::to_string(lineNumber) + ": " + *errorMessage };
    }
    return document;
}

} // namespace Settings
