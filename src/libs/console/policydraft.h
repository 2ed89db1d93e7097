#pragma once

#include "formdata.h"
#include "settings/inidocument.h"

#include <string>
#include <string_view>
#include <variant>

namespace Console {

/*!
    A policy document being edited: sections of raw text, which need not be valid yet.
*/
class PolicyDraft {
public:
    /*! \param text INI text. \return the draft, or the fault that stopped the parser. */
    static std::variant<PolicyDraft, Settings::Fault> parse(std::string_view text);

    /*!
        Applies the submitted form of one section: field "section" names it, "kind" and "name" make a new
        one, "remove" drops it, all other fields are keys. Keys left empty are dropped.
        \param form the form.
    */
    void apply(const FormData& form);

    /*! \return INI text of the draft. */
    std::string toText() const;

    /*! \return the sections in the order of the text. */
    const Settings::IniDocument& document() const;

private:
    Settings::IniDocument document_;
};

} // namespace Console
