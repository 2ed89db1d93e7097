#pragma once

#include "settings/fault.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Console {

class PolicyDraft;

/*! What every form of an editing page carries. */
struct EditState {
    std::uint64_t baseRevision = 0; //!< Revision the draft started from.
    std::string formToken; //!< Protects against requests from other sites.
};

/*!
    Hidden fields that carry draft and state from page to page.
    \param draftText INI text of the draft.
    \param state the editing state.
    \return HTML.
*/
std::string hiddenState(std::string_view draftText, const EditState& state);

/*!
    A form for each section of a draft and one for each kind of section that may be added; labels, units and
    limits come from the schema.
    \param draft the draft.
    \param faults faults of the draft, shown beside their fields.
    \param state the editing state.
    \return HTML.
*/
std::string policyForms(
    const PolicyDraft& draft, std::span<const Settings::Fault> faults, const EditState& state);

} // namespace Console
