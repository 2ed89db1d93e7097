#pragma once

#include "fault.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Settings {

/*! One "key = value" line. */
struct IniEntry {
    std::string key;
    std::string value;
};

/*! One section; its header is "[kind]" or "[kind name]". */
struct IniSection {
    std::string kind;
    std::string name; //!< Empty for sections that occur once.
    std::vector<IniEntry> entries;

    /*! \return the header without brackets. */
    std::string header() const;
};

/*! A parsed INI text, in the order of the text. */
struct IniDocument {
    std::string file;
    std::vector<IniSection> sections;
};

/*!
    Parses INI text.
    \param text the text; comments start with ';' or '#'.
    \param file name used in faults.
    \return the document, or the fault that stopped the parser.
*/
std::variant<IniDocument, Fault> parseIni(std::string_view text, std::string_view file);

} // namespace Settings
