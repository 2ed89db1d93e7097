#pragma once

#include "fault.h"

#include <vector>

namespace google::protobuf {
class Message;
}

namespace Settings {

struct IniDocument;

/*!
    Fills a schema message from an INI document and validates it against the rules in the schema.

    A singular message field of \a message corresponds to the section of the same name. A repeated one
    corresponds to any number of sections "[field name]" whose names are stored in their field "name". Absent
    keys get their initial value.

    \param message receives the values; its previous content is discarded.
    \return all faults; empty if the document is valid.
*/
std::vector<Fault> readMessage(const IniDocument& document, google::protobuf::Message& message);

} // namespace Settings
