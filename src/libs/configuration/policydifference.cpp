#include "policydifference.h"

#include "policytext.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <map>
#include <tuple>

namespace Configuration {

namespace {

namespace Proto = google::protobuf;

struct KeyName {
    std::string section;
    std::string key;

    bool operator<(const KeyName& other) const
    {
        return std::tie(section, key) < std::tie(other.section, other.key);
    }
};

using KeyValues = std::map<KeyName, std::string>;

void collectSection(const Proto::Message& section, const std::string& header, KeyValues& values)
{
    const Proto::Descriptor& descriptor = *section.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) {
        const Proto::FieldDescriptor& field = *descriptor.field(i);
        if (field.name() != "name")
            values[{ header, field.name() }] = fieldText(section, field);
    }
}

KeyValues collect(const Schema::PolicyDocument& policy)
{
    KeyValues values;
    forEachSection(policy, [&values](const Proto::Message& section, const std::string& header) {
        collectSection(section, header, values);
    });
    return values;
}

} // namespace

std::vector<Difference> difference(const Schema::PolicyDocument& before, const Schema::PolicyDocument& after)
{
    const KeyValues old = collect(before);
    std::map<KeyName, Difference> differences;
    for (const auto& [name, value] : old)
        differences[name] = { name.section, name.key, value, {} };
    for (const auto& [name, value] : collect(after)) {
        const auto found = differences.try_emplace(name, Difference { name.section, name.key, {}, {} }).first;
        found->second.after = value;
        // A key that is present with an empty value on both sides is no difference either.
        if (old.contains(name) && found->second.before == value)
            differences.erase(found);
    }
    std::vector<Difference> result;
    result.reserve(differences.size());
    for (auto& [name, entry] : differences)
        result.push_back(std::move(entry));
    return result;
}

} // namespace Configuration
