#pragma once

#include "settings/fault.h"

#include <policy.pb.h>

#include <string_view>
#include <vector>

namespace Configuration::Internal {

/*!
    Validates the rules of a policy document that involve several keys or sections.
    \param policy a document read from text; keys with faults have their zero value.
    \param document name of the document to use in faults.
    \param faults the faults found are appended; sections that already have faults are checked as well.
*/
void checkSections(
    const Schema::PolicyDocument& policy, std::string_view document, std::vector<Settings::Fault>& faults);

} // namespace Configuration::Internal
