#pragma once

#include "fault.h"

#include <vector>

namespace google::protobuf {
class Message;
}

namespace Settings {

struct IniDocument;

/*!
    Fills a schema message from an INI document and checks it against the rules in the schema.

    A singular message field of \a message stands for the section of the same name, a repeated one for
    any number of sections "[field name]" whose name goes into the field "name". Absent keys take their
    initial value.

    \param document the parsed text.
    \param message receives the values; its former content is dropped.
    \return every fault found; empty if the document is valid.
*/
std::vector<Fault> readMessage(const IniDocument& document, google::protobuf::Message& message);

} // namespace Settings
