#pragma once

#include <span>
#include <string>

namespace Settings {

/*! A validation error in a settings file or a policy document. */
struct Fault {
    std::string file; //!< Name of the file or document.
    std::string section; //!< Section header without brackets, for example "listen" or "service rounds".
    std::string key; //!< Empty if the fault concerns the whole section.
    std::string message; //!< What is wrong, and what is allowed instead.

    /*! Returns "file: [section] key: message". */
    std::string toString() const;
};

/*! Returns a text with one line per fault. */
std::string faultsToString(std::span<const Fault> faults);

} // namespace Settings
