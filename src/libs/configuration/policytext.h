#pragma once

#include <policy.pb.h>

#include <functional>
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

/*! Receives a section and its header without brackets. */
using SectionVisitor = std::function<void(const google::protobuf::Message&, const std::string&)>;

/*!
    Visits the sections of a policy document that are set, in the order of the schema.
    \param policy the document.
    \param visit called for each section.
*/
void forEachSection(const Schema::PolicyDocument& policy, const SectionVisitor& visit);

/*!
    Writes a policy document as INI text; parsePolicy() reads it back to an equal document.
    \param policy the document.
    \return the text, one section after the other in the order of the schema.
*/
std::string policyToText(const Schema::PolicyDocument& policy);

} // namespace Configuration
