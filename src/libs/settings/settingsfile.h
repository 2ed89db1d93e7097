#pragma once

#include "fault.h"

#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace Settings {

/*!
    Parses INI text into a schema message.
    \param name document name to use in faults.
    \return all faults, or only the first syntax error; empty if the text is valid.
*/
std::vector<Fault> parseText(
    std::string_view text, std::string_view name, google::protobuf::Message& message);

/*!
    Reads a settings file into a schema message.
    \return the faults that parseText() finds, or one if the file cannot be read; empty if the file is valid.
*/
std::vector<Fault> readFile(const std::string& path, google::protobuf::Message& message);

} // namespace Settings
