#pragma once

#include <policy.pb.h>

#include <functional>
#include <string>

namespace google::protobuf {
class FieldDescriptor;
class Message;
} // namespace google::protobuf

namespace Configuration {

/*! Returns the value of \a field in \a message as INI text; list items are separated by ", ". */
std::string fieldText(
    const google::protobuf::Message& message, const google::protobuf::FieldDescriptor& field);

/*! Called with a section and its header without brackets. */
using SectionVisitor = std::function<void(const google::protobuf::Message&, const std::string&)>;

/*! Calls \a visit for each section present in \a policy, in the order of the schema. */
void forEachSection(const Schema::PolicyDocument& policy, const SectionVisitor& visit);

/*!
    Converts a policy document to INI text with its sections in the order of the schema. parsePolicy() parses
    the text to an equal document.
*/
std::string policyToText(const Schema::PolicyDocument& policy);

} // namespace Configuration
