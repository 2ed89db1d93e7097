#include "policyforms.h"

#include "html.h"
#include "policydraft.h"

#include <google/protobuf/descriptor.h>
#include <options.pb.h>
#include <policy.pb.h>

#include <algorithm>
#include <sstream>

namespace Console {

namespace {

namespace Proto = google::protobuf;

constexpr std::string_view nameKey = "name";

// Returns the display name of a section kind, derived from the field name in the schema.
std::string kindTitle(const std::string& kind)
{
    std::string title = kind;
    std::replace(title.begin(), title.end(), '_', ' ');
    title.front() = static_cast<char>(std::toupper(static_cast<unsigned char>(title.front())));
    return title;
}

std::string hintText(const Proto::FieldDescriptor& field)
{
    const Proto::FieldOptions& options = field.options();
    std::ostringstream hint;
    hint << options.GetExtension(Schema::summary);
    if (options.HasExtension(Schema::minimum) && options.HasExtension(Schema::maximum)) {
        hint << "; " << options.GetExtension(Schema::minimum) << " to "
             << options.GetExtension(Schema::maximum);
    }
    if (options.HasExtension(Schema::unit))
        hint << " " << options.GetExtension(Schema::unit);
    if (options.HasExtension(Schema::initial))
        hint << "; if empty " << options.GetExtension(Schema::initial);
    if (options.GetExtension(Schema::required))
        hint << "; required";
    return hint.str();
}

std::string entryValue(const Settings::IniSection& section, const std::string& key)
{
    for (const Settings::IniEntry& entry : section.entries) {
        if (entry.key == key)
            return entry.value;
    }
    return {};
}

// Writes the forms of a draft.
class FormWriter {
public:
    FormWriter(const PolicyDraft& draft, std::span<const Settings::Fault> faults, const EditState& state)
        : draft_(draft)
        , faults_(faults)
        , hidden_(hiddenState(draft.toText(), state))
    {
    }

    std::string write()
    {
        const Proto::Descriptor& policy = *Schema::PolicyDocument::descriptor();
        for (int i = 0; i < policy.field_count(); ++i)
            writeKind(*policy.field(i));
        return out_.str();
    }

private:
    void writeKind(const Proto::FieldDescriptor& kind)
    {
        out_ << "<section><h2 id=\"" << kind.name() << "\">" << escapeHtml(kindTitle(kind.name()))
             << "</h2>\n";
        writeFaults(kind.name(), {}, "p");
        bool hasSection = false;
        for (const Settings::IniSection& section : draft_.document().sections) {
            if (section.kind != kind.name())
                continue;
            hasSection = true;
            writeForm(kind, section, false);
        }
        if (kind.is_repeated()) {
            out_ << "<details><summary>Add " << escapeHtml(kindTitle(kind.name())) << "</summary>";
            writeForm(kind, { kind.name(), {}, {} }, true);
            out_ << "</details>";
        } else if (!hasSection) {
            writeForm(kind, { kind.name(), {}, {} }, true);
        }
        out_ << "</section>\n";
    }

    void writeForm(const Proto::FieldDescriptor& kind, const Settings::IniSection& section, bool isNew)
    {
        out_ << "<form class=\"part\" method=\"post\" action=\"/preview\">" << hidden_
             << hiddenInput("kind", section.kind);
        if (!isNew)
            out_ << hiddenInput("section", section.header());
        out_ << "<fieldset><legend>" << escapeHtml(isNew ? "New section" : section.header()) << "</legend>";
        // A section without a name is the only one of its kind; writeKind() has already written its faults.
        if (!section.name.empty())
            writeFaults(section.header(), {}, "p");
        const Proto::Descriptor& fields = *kind.message_type();
        for (int i = 0; i < fields.field_count(); ++i) {
            const Proto::FieldDescriptor& field = *fields.field(i);
            if (field.name() != nameKey)
                writeField(field, section, isNew);
            else if (isNew)
                writeInput(field, section, "name", {});
        }
        out_ << "</fieldset><button>Review change</button>";
        if (!isNew)
            out_ << "<button class=\"plain\" name=\"remove\" value=\"1\">Remove section</button>";
        out_ << "</form>\n";
    }

    void writeField(const Proto::FieldDescriptor& field, const Settings::IniSection& section, bool isNew)
    {
        const std::string header = isNew ? std::string() : section.header();
        writeInput(field, section, "key." + field.name(), header);
    }

    void writeInput(const Proto::FieldDescriptor& field, const Settings::IniSection& section,
        const std::string& inputName, const std::string& header)
    {
        const std::string id = "f" + std::to_string(++fieldCount_);
        const bool isFaulty = !header.empty() && hasFault(header, field.name());
        out_ << "<div class=\"field\"><label for=\"" << id << "\">" << escapeHtml(field.name())
             << "</label><input type=\"text\" id=\"" << id << "\" name=\"" << escapeHtml(inputName)
             << "\" value=\"" << escapeHtml(entryValue(section, field.name())) << "\" aria-describedby=\""
             << id << "h\"" << (isFaulty ? " aria-invalid=\"true\"" : "") << "><small id=\"" << id << "h\">"
             << escapeHtml(hintText(field)) << "</small>";
        if (isFaulty)
            writeFaults(header, field.name(), "span");
        out_ << "</div>\n";
    }

    bool hasFault(const std::string& section, const std::string& key) const
    {
        return std::any_of(faults_.begin(), faults_.end(),
            [&](const Settings::Fault& fault) { return fault.section == section && fault.key == key; });
    }

    void writeFaults(const std::string& section, const std::string& key, std::string_view element)
    {
        for (const Settings::Fault& fault : faults_) {
            if (fault.section == section && fault.key == key) {
                out_ << '<' << element << " class=\"fault\" role=\"alert\">" << escapeHtml(fault.message)
                     << "</" << element << '>';
            }
        }
    }

    const PolicyDraft& draft_;
    std::span<const Settings::Fault> faults_;
    std::string hidden_;
    std::ostringstream out_;
    int fieldCount_ = 0;
};

} // namespace

std::string hiddenState(std::string_view draftText, const EditState& state)
{
    return hiddenInput("draft", draftText) + hiddenInput("base", std::to_string(state.baseRevision))
        + hiddenInput("form_token", state.formToken);
}

std::string policyForms(
    const PolicyDraft& draft, std::span<const Settings::Fault> faults, const EditState& state)
{
    return FormWriter(draft, faults, state).write();
}

} // namespace Console
