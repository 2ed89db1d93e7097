#pragma once

#include "http/message.h"
#include "options.h"
#include "settings/fault.h"
#include "utils/result.h"

#include <span>
#include <string>

namespace Control {

/*! Returns the exit code for an HTTP status. */
int exitCodeForStatus(unsigned status);

/*!
    Prints an unsuccessful response with its faults or differing keys.
    \param json prints the unmodified body instead.
    \return the exit code.
*/
int printFailure(const Http::Response& response, bool json);

/*! Prints the error of a failed call and returns the exit code. */
int printError(const Utils::Error& error);

/*!
    Prints a JSON array of objects as a table.
    \param body JSON object that contains the array.
    \param array name of the array.
    \param columns names of the members to print.
*/
void printTable(const std::string& body, const std::string& array, std::span<const char* const> columns);

/*! Prints the members of the JSON object \a body, one per line. */
void printObject(const std::string& body);

/*! Prints a JSON object with the revision and the INI text of a configuration. */
void printJsonText(const std::string& revision, const std::string& text);

/*! Prints the faults of a document as text, or as a JSON object if \a json is set. */
void printFaults(std::span<const Settings::Fault> faults, bool json);

} // namespace Control
