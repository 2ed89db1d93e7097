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
    \param text the INI text.
    \param name name used in faults.
    \param message receives the values.
    \return every fault found; empty if the text is valid.
*/
std::vector<Fault> parseText(
    std::string_view text, std::string_view name, google::protobuf::Message& message);

/*!
    Reads a settings file into a schema message.
    \param path the file.
    \param message receives the values.
    \return every fault found, also that the file cannot be read; empty if it is valid.
*/
std::vector<Fault> readFile(const std::string& path, google::protobuf::Message& message);

} // namespace Settings
