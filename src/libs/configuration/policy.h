#pragma once

#include "settings/fault.h"

#include <policy.pb.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Configuration {

/*! A valid policy document or everything that is wrong with the text. */
using ParsedPolicy = std::variant<Schema::PolicyDocument, std::vector<Settings::Fault>>;

/*!
    Parses INI text into a policy document and checks each key and the sections against each other.
    \param text the INI text.
    \return the document, or every fault by section and key.
*/
ParsedPolicy parsePolicy(std::string_view text);

/*!
    Digest of a policy text.
    \param text the INI text.
    \return 128 bits of xxHash as 32 lower-case hexadecimal digits.
*/
std::string policyDigest(std::string_view text);

} // namespace Configuration
