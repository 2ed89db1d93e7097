#include "policy.h"

#include "policychecks.h"
#include "settings/settingsfile.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace Configuration {

namespace {

constexpr std::string_view documentName = "policy";

} // namespace

ParsedPolicy parsePolicy(std::string_view text)
{
    Schema::PolicyDocument policy;
    std::vector<Settings::Fault> faults = Settings::parseText(text, documentName, policy);
    Internal::checkSections(policy, documentName, faults);
    if (!faults.empty())
        return faults;
    return policy;
}

std::string policyDigest(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
        static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

} // namespace Configuration
