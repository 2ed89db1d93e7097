#include "messagereader.h"

#include "inidocument.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <options.pb.h>

#include <charconv>
#include <cmath>
#include <regex>
#include <set>
#include <sstream>

namespace Settings {

namespace {

namespace Proto = google::protobuf;

constexpr char nameFieldName[] = "name";
constexpr std::size_t maxPatternTextLength
    = 1024; // Longer texts never match: std::regex recurses per character and could overflow the stack.
constexpr std::size_t maxQuotedLength = 80;

std::string formatNumber(double number)
{
    std::ostringstream stream;
    stream.precision(15);
    stream << number;
    return stream.str();
}

bool isNumber(const Proto::FieldDescriptor& field)
{
    return field.cpp_type() != Proto::FieldDescriptor::CPPTYPE_STRING
        && field.cpp_type() != Proto::FieldDescriptor::CPPTYPE_BOOL;
}

std::string describeAllowedValues(const Proto::FieldDescriptor& field)
{
    const Proto::FieldOptions& options = field.options();
    if (options.HasExtension(Schema::pattern))
        return "must match " + options.GetExtension(Schema::pattern);
    if (field.cpp_type() == Proto::FieldDescriptor::CPPTYPE_BOOL)
        return "must be true or false";
    if (!isNumber(field))
        return "must be a text";
    std::string text = field.cpp_type() == Proto::FieldDescriptor::CPPTYPE_DOUBLE ? "must be a number"
                                                                                  : "must be a whole number";
    if (options.HasExtension(Schema::minimum) && options.HasExtension(Schema::maximum)) {
        text += " from " + formatNumber(options.GetExtension(Schema::minimum)) + " to "
            + formatNumber(options.GetExtension(Schema::maximum));
    }
    if (options.HasExtension(Schema::unit))
        text += " (" + options.GetExtension(Schema::unit) + ")";
    return text;
}

bool isInRange(const Proto::FieldDescriptor& field, double number)
{
    const Proto::FieldOptions& options = field.options();
    if (options.HasExtension(Schema::minimum) && number < options.GetExtension(Schema::minimum))
        return false;
    return !options.HasExtension(Schema::maximum) || number <= options.GetExtension(Schema::maximum);
}

template <typename Number> bool parseNumber(const std::string& text, Number& number)
{
    const char* end = text.data() + text.size();
    const auto [parsedEnd, code] = std::from_chars(text.data(), end, number);
    return code == std::errc {} && parsedEnd == end;
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const std::size_t first = item.find_first_not_of(" \t");
        if (first == std::string::npos)
            continue;
        items.push_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
    }
    return items;
}

bool matchesPattern(const Proto::FieldOptions& options, const std::string& text)
{
    return text.size() <= maxPatternTextLength
        && std::regex_match(text, std::regex(options.GetExtension(Schema::pattern)));
}

// Returns a value for use in a fault message, truncated if it is long.
std::string quoteValue(const std::string& value)
{
    if (value.size() <= maxQuotedLength)
        return "'" + value + "'";
    return "'" + value.substr(0, maxQuotedLength) + "...' (" + std::to_string(value.size()) + " bytes)";
}

// Sets a scalar field, or appends to a repeated one; false if the text is not allowed for the field.
bool setScalar(const Proto::FieldDescriptor& field, const std::string& text, Proto::Message& message)
{
    const Proto::Reflection& reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case Proto::FieldDescriptor::CPPTYPE_UINT32: {
        std::uint32_t number = 0;
        if (!parseNumber(text, number) || !isInRange(field, number))
            return false;
        reflection.SetUInt32(&message, &field, number);
        return true;
    }
    case Proto::FieldDescriptor::CPPTYPE_DOUBLE: {
        double number = 0;
        if (!parseNumber(text, number) || !std::isfinite(number) || !isInRange(field, number))
            return false;
        reflection.SetDouble(&message, &field, number);
        return true;
    }
    case Proto::FieldDescriptor::CPPTYPE_BOOL:
        if (text != "true" && text != "false")
            return false;
        reflection.SetBool(&message, &field, text == "true");
        return true;
    case Proto::FieldDescriptor::CPPTYPE_STRING: {
        const Proto::FieldOptions& options = field.options();
        if (options.HasExtension(Schema::pattern) && !matchesPattern(options, text))
            return false;
        if (field.is_repeated())
            reflection.AddString(&message, &field, text);
        else
            reflection.SetString(&message, &field, text);
        return true;
    }
    default:
        return false;
    }
}

bool setField(const Proto::FieldDescriptor& field, const std::string& text, Proto::Message& message)
{
    if (!field.is_repeated())
        return setScalar(field, text, message);
    bool isValid = true;
    for (const std::string& item : splitList(text))
        isValid = setScalar(field, item, message) && isValid;
    return isValid;
}

// Fills the message of a section and collects the faults.
class SectionReader {
public:
    SectionReader(std::string file, std::string header, Proto::Message& message, std::vector<Fault>& faults)
        : file_(std::move(file))
        , header_(std::move(header))
        , message_(message)
        , faults_(faults)
    {
    }

    void read(const IniSection& section)
    {
        if (!section.name.empty())
            readEntry({ nameFieldName, section.name });
        for (const IniEntry& entry : section.entries)
            readEntry(entry);
    }

    // Sets absent keys to their initial values and reports absent keys that are required.
    void applyDefaults()
    {
        const Proto::Descriptor& descriptor = *message_.GetDescriptor();
        for (int i = 0; i < descriptor.field_count(); ++i) {
            const Proto::FieldDescriptor& field = *descriptor.field(i);
            if (presentKeys_.count(field.name()) != 0)
                continue;
            if (field.options().HasExtension(Schema::initial))
                setField(field, field.options().GetExtension(Schema::initial), message_);
            else if (field.options().GetExtension(Schema::required))
                addFault(field.name(), "is missing; " + describeAllowedValues(field));
        }
    }

private:
    void readEntry(const IniEntry& entry)
    {
        const Proto::FieldDescriptor* field = message_.GetDescriptor()->FindFieldByName(entry.key);
        if (!field) {
            addFault(entry.key, "is not a known key");
            return;
        }
        if (!presentKeys_.insert(entry.key).second) {
            addFault(entry.key, "is given twice");
            return;
        }
        if (!setField(*field, entry.value, message_))
            addFault(
                entry.key, quoteValue(entry.value) + " is not allowed; " + describeAllowedValues(*field));
    }

    void addFault(const std::string& key, const std::string& message)
    {
        faults_.push_back({ file_, header_, key, message });
    }

    std::string file_;
    std::string header_;
    Proto::Message& message_;
    std::vector<Fault>& faults_;
    std::set<std::string> presentKeys_;
};

void readSection(const IniDocument& document, const IniSection& section, Proto::Message& message,
    std::set<std::string>& presentSections, std::vector<Fault>& faults)
{
    const auto addFault = [&](const std::string& text) {
        faults.push_back({ document.file, section.header(), {}, text });
    };
    const Proto::FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(section.kind);
    if (!field)
        return addFault("is not a known section");
    if (field->is_repeated() == section.name.empty())
        return addFault(field->is_repeated() ? "needs a name after the kind" : "takes no name");
    if (!presentSections.insert(section.header()).second)
        return addFault("is given twice");
    const Proto::Reflection& reflection = *message.GetReflection();
    Proto::Message* sectionMessage = field->is_repeated() ? reflection.AddMessage(&message, field)
                                                          : reflection.MutableMessage(&message, field);
    SectionReader reader(document.file, section.header(), *sectionMessage, faults);
    reader.read(section);
    reader.applyDefaults();
}

} // namespace

std::vector<Fault> readMessage(const IniDocument& document, Proto::Message& message)
{
    message.Clear();
    std::vector<Fault> faults;
    std::set<std::string> presentSections;
    for (const IniSection& section : document.sections)
        readSection(document, section, message, presentSections, faults);
    const Proto::Descriptor& descriptor = *message.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) {
        const Proto::FieldDescriptor& field = *descriptor.field(i);
        if (field.is_repeated() || presentSections.count(field.name()) != 0)
            continue;
        Proto::Message* sectionMessage = message.GetReflection()->MutableMessage(&message, &field);
        SectionReader(document.file, field.name(), *sectionMessage, faults).applyDefaults();
    }
    return faults;
}

} // namespace Settings
