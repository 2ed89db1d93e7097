#pragma once

#include "http/message.h"
#include "options.h"
#include "settings/fault.h"
#include "utils/result.h"

#include <span>
#include <string>

namespace Control {

/*!
    The exit code for an HTTP status.
    \param status the status.
    \return the code.
*/
int exitCodeForStatus(unsigned status);

/*!
    Prints an answer that is not a success, with its faults or differing keys.
    \param response the answer.
    \param json whether to print it as it came.
    \return the exit code.
*/
int printFailure(const Http::Response& response, bool json);

/*! Prints an error of a call. \param error the error. \return the exit code. */
int printError(const Utils::Error& error);

/*!
    Prints a JSON array of objects as a table.
    \param body JSON object.
    \param array name of the array in it.
    \param columns names of the columns.
*/
void printTable(const std::string& body, const std::string& array, std::span<const char* const> columns);

/*! Prints the members of a JSON object, one a line. \param body JSON object. */
void printObject(const std::string& body);

/*! Prints a configuration as a JSON object. \param revision its revision. \param text its INI text. */
void printJsonText(const std::string& revision, const std::string& text);

/*! Prints the faults of a document. \param faults the faults. \param json whether as a JSON object. */
void printFaults(std::span<const Settings::Fault> faults, bool json);

} // namespace Control
