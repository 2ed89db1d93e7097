#pragma once

#include "formdata.h"
#include "settings/inidocument.h"

#include <string>
#include <string_view>
#include <variant>

namespace Console {

/*!
    A policy document that is being edited. Its sections contain raw text that may be invalid.
*/
class PolicyDraft {
public:
    /*! Parses INI text; returns the first syntax error if there is one. */
    static std::variant<PolicyDraft, Settings::Fault> parse(std::string_view text);

    /*!
        Applies the submitted form of a section. The field "section" identifies an existing section, and
        "kind" and "name" describe a new one; "remove" removes the section. Fields "key.NAME" contain the
        values of the keys; empty ones are omitted.
    */
    void apply(const FormData& form);

    /*! Returns the INI text of the draft. */
    std::string toText() const;

    /*! Returns the sections in their original order. */
    const Settings::IniDocument& document() const;

private:
    Settings::IniDocument document_;
};

} // namespace Console
