#pragma once

#include <policy.pb.h>

#include <string>
#include <vector>

namespace Configuration {

/*! One key that differs between two policy documents. */
struct Difference {
    std::string section; //!< Section as it stands in the text, for example "service rounds".
    std::string key;
    std::string before; //!< Empty if the section was absent.
    std::string after; //!< Empty if the section is absent now.

    bool operator==(const Difference&) const = default;
};

/*!
    Compares two policy documents key by key; the order of sections does not matter.
    \param before the older document.
    \param after the newer document.
    \return the differing keys, ordered by section.
*/
std::vector<Difference> difference(const Schema::PolicyDocument& before, const Schema::PolicyDocument& after);

} // namespace Configuration
