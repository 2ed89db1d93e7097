#pragma once

#include "settings/fault.h"

#include <policy.pb.h>

#include <string_view>
#include <vector>

namespace Configuration::Internal {

/*!
    Checks the sections of a policy document against each other.
    \param policy a document read from text; keys with faults hold their zero value.
    \param document name of the document used in faults.
    \param faults receives what is wrong; sections that already have a fault in a key are still checked.
*/
void checkSections(
    const Schema::PolicyDocument& policy, std::string_view document, std::vector<Settings::Fault>& faults);

} // namespace Configuration::Internal
