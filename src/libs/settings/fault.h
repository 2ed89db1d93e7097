#pragma once

#include <span>
#include <string>

namespace Settings {

/*! One thing wrong with a settings file or a policy document. */
struct Fault {
    std::string file; //!< Name of the file or document.
    std::string section; //!< Section as it stands in the file, for example "listen" or "service rounds".
    std::string key; //!< Key; empty if the whole section is meant.
    std::string message; //!< What is wrong and what is allowed.

    /*! \return "file: [section] key: message". */
    std::string toString() const;
};

/*!
    All faults as text.
    \param faults the faults.
    \return one line for each fault.
*/
std::string faultsToString(std::span<const Fault> faults);

} // namespace Settings
