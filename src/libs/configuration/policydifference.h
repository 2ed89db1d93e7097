#pragma once

#include <policy.pb.h>

#include <string>
#include <vector>

namespace Configuration {

/*! A key whose values differ between two policy documents. */
struct Difference {
    std::string section; //!< Section header without brackets, for example "service rounds".
    std::string key;
    std::string before; //!< Empty if the old document does not contain the section.
    std::string after; //!< Empty if the new document does not contain the section.

    bool operator==(const Difference&) const = default;
};

/*!
    Compares two policy documents key by key, ignoring the order of sections.
    \return the differing keys, sorted by section and key.
*/
std::vector<Difference> difference(const Schema::PolicyDocument& before, const Schema::PolicyDocument& after);

} // namespace Configuration
