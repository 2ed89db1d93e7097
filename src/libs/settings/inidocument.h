#pragma once

#include "fault.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Settings {

/*! A "key = value" line. */
struct IniEntry {
    std::string key;
    std::string value;
};

/*! A section with the header "[kind]" or "[kind name]". */
struct IniSection {
    std::string kind;
    std::string name; //!< Empty for sections that can occur only once.
    std::vector<IniEntry> entries;

    /*! Returns the header without brackets. */
    std::string header() const;
};

/*! A parsed INI text; sections and entries are in their original order. */
struct IniDocument {
    std::string file;
    std::vector<IniSection> sections;
};

/*!
    Parses INI text with comments that start with ';' or '#'.
    \param file file name to use in faults.
    \return the document, or the first syntax error.
*/
std::variant<IniDocument, Fault> parseIni(std::string_view text, std::string_view file);

} // namespace Settings
