#pragma once

#include "settings/fault.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Console {

class PolicyDraft;

/*! State included in every form of an editing page. */
struct EditState {
    std::uint64_t baseRevision = 0; //!< Revision that the draft is based on.
    std::string formToken; //!< Protects against cross-site request forgery.
};

/*! Returns the HTML of hidden fields that pass the INI text of the draft and the state to the next page. */
std::string hiddenState(std::string_view draftText, const EditState& state);

/*!
    Returns the HTML of a form for each section of a draft and for each kind of section that can be added.
    Labels, units and limits come from the schema.
    \param faults faults of the draft, shown beside their fields.
*/
std::string policyForms(
    const PolicyDraft& draft, std::span<const Settings::Fault> faults, const EditState& state);

} // namespace Console
