#include "policytext.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <array>
#include <charconv>

namespace Configuration {

namespace {

namespace Proto = google::protobuf;

// Returns the shortest text that parses to exactly the same number.
std::string doubleText(double number)
{
    std::array<char, 32> digits {};
    const auto [end, code] = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    return std::string(digits.data(), end);
}

std::string listText(const Proto::Message& message, const Proto::FieldDescriptor& field)
{
    const Proto::Reflection& reflection = *message.GetReflection();
    std::string text;
    for (int i = 0; i < reflection.FieldSize(message, &field); ++i)
        text += (i == 0 ? "" : ", ") + reflection.GetRepeatedString(message, &field, i);
    return text;
}

void appendSection(const Proto::Message& section, const std::string& header, std::string& text)
{
    text += "[" + header + "]\n";
    const Proto::Descriptor& descriptor = *section.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) {
        const Proto::FieldDescriptor& field = *descriptor.field(i);
        if (field.name() != "name")
            text += field.name() + " = " + fieldText(section, field) + "\n";
    }
    text += "\n";
}

} // namespace

std::string fieldText(const Proto::Message& message, const Proto::FieldDescriptor& field)
{
    const Proto::Reflection& reflection = *message.GetReflection();
    if (field.is_repeated())
        return listText(message, field);
    switch (field.cpp_type()) {
    case Proto::FieldDescriptor::CPPTYPE_UINT32:
        return std::to_string(reflection.GetUInt32(message, &field));
    case Proto::FieldDescriptor::CPPTYPE_DOUBLE:
        return doubleText(reflection.GetDouble(message, &field));
    case Proto::FieldDescriptor::CPPTYPE_BOOL:
        return reflection.GetBool(message, &field) ? "true" : "false";
    case Proto::FieldDescriptor::CPPTYPE_STRING:
        return reflection.GetString(message, &field);
    default:
        return {};
    }
}

void forEachSection(const Schema::PolicyDocument& policy, const SectionVisitor& visit)
{
    const Proto::Descriptor& descriptor = *policy.GetDescriptor();
    const Proto::Reflection& reflection = *policy.GetReflection();
    for (int i = 0; i < descriptor.field_count(); ++i) {
        const Proto::FieldDescriptor& field = *descriptor.field(i);
        if (!field.is_repeated()) {
            if (reflection.HasField(policy, &field))
                visit(reflection.GetMessage(policy, &field), field.name());
            continue;
        }
        for (int j = 0; j < reflection.FieldSize(policy, &field); ++j) {
            const Proto::Message& section = reflection.GetRepeatedMessage(policy, &field, j);
            const Proto::FieldDescriptor* name = section.GetDescriptor()->FindFieldByName("name");
            visit(section, field.name() + " " + fieldText(section, *name));
        }
    }
}

std::string policyToText(const Schema::PolicyDocument& policy)
{
    std::string text;
    forEachSection(policy, [&text](const Proto::Message& section, const std::string& header) {
        appendSection(section, header, text);
    });
    return text;
}

} // namespace Configuration
