#pragma once

#include <policy.pb.h>

#include <string>

namespace google::protobuf {
class FieldDescriptor;
class Message;
} // namespace google::protobuf

namespace Configuration {

/*!
    Value of one field as it stands in INI text.
    \param message the section's message.
    \param field a field of it.
    \return the text; items of a list are separated by ", ".
*/
std::string fieldText(
    const google::protobuf::Message& message, const google::protobuf::FieldDescriptor& field);

/*!
    Writes a policy document as INI text; parsePolicy() reads it back to an equal document.
    \param policy the document.
    \return the text, one section after the other in the order of the schema.
*/
std::string policyToText(const Schema::PolicyDocument& policy);

} // namespace Configuration
