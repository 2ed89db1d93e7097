#include "policydifference.h"

#include "policytext.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <map>
#include <tuple>

namespace Configuration {

namespace {

namespace Proto = google::protobuf;

struct KeyPath {
    std::string section;
    std::string key;

    bool operator<(const KeyPath& other) const
    {
        return std::tie(section, key) < std::tie(other.section, other.key);
    }
};

using KeyValues = std::map<KeyPath, std::string>;

void addSectionValues(const Proto::Message& section, const std::string& header, KeyValues& values)
{
    const Proto::Descriptor& descriptor = *section.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) {
        const Proto::FieldDescriptor& field = *descriptor.field(i);
        if (field.name() != "name")
            values[{ header, field.name() }] = fieldText(section, field);
    }
}

KeyValues collectValues(const Schema::PolicyDocument& policy)
{
    KeyValues values;
    forEachSection(policy, [&values](const Proto::Message& section, const std::string& header) {
        addSectionValues(section, header, values);
    });
    return values;
}

} // namespace

std::vector<Difference> difference(const Schema::PolicyDocument& before, const Schema::PolicyDocument& after)
{
    const KeyValues oldValues = collectValues(before);
    std::map<KeyPath, Difference> differences;
    for (const auto& [keyPath, value] : oldValues)
        differences[keyPath] = { keyPath.section, keyPath.key, value, {} };
    for (const auto& [keyPath, value] : collectValues(after)) {
        const auto found
            = differences.try_emplace(keyPath, Difference { keyPath.section, keyPath.key, {}, {} }).first;
        found->second.after = value;
        // The key must be present in the old document too: an absent key also has an empty "before" here, but
        // it differs from a key that is present with an empty value.
        if (oldValues.contains(keyPath) && found->second.before == value)
            differences.erase(found);
    }
    std::vector<Difference> result;
    result.reserve(differences.size());
    for (auto& [keyPath, keyDifference] : differences)
        result.push_back(std::move(keyDifference));
    return result;
}

} // namespace Configuration
