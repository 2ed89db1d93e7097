#pragma once

#include "settings/fault.h"

#include <policy.pb.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Configuration {

/*! A valid policy document, or all faults of the text. */
using ParsedPolicy = std::variant<Schema::PolicyDocument, std::vector<Settings::Fault>>;

/*!
    Parses a policy document from INI text and validates its keys as well as the references between sections.
    \return the document, or all faults with their section and key.
*/
ParsedPolicy parsePolicy(std::string_view text);

/*! Returns the 128-bit xxHash of a policy text as 32 lower-case hexadecimal digits. */
std::string policyDigest(std::string_view text);

} // namespace Configuration
