#include "policychecks.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <string>

namespace Configuration::Internal {

namespace {

using Faults = std::vector<Settings::Fault>;

constexpr double maxGuaranteedPercent = 100.0;
constexpr double percentTolerance = 1e-9;

std::string formatNumber(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

class SectionChecker {
public:
    SectionChecker(const Schema::PolicyDocument& policy, std::string_view document, Faults& faults)
        : policy_(policy)
        , document_(document)
        , faults_(faults)
    {
    }

    void checkPriorityClasses()
    {
        if (policy_.priority_class().empty())
            addFault("priority_class", {}, "at least one priority class is needed");
        double guaranteedSum = 0;
        for (const auto& priorityClass : policy_.priority_class()) {
            const std::string section = "priority_class " + priorityClass.name();
            guaranteedSum += priorityClass.guaranteed_percent();
            if (priorityClass.ceiling_percent() < priorityClass.guaranteed_percent()) {
                addFault(section, "ceiling_percent",
                    formatNumber(priorityClass.ceiling_percent()) + " is below guaranteed_percent "
                        + formatNumber(priorityClass.guaranteed_percent()));
            }
        }
        if (guaranteedSum <= maxGuaranteedPercent + percentTolerance)
            return;
        for (const auto& priorityClass : policy_.priority_class()) {
            if (priorityClass.guaranteed_percent() <= 0)
                continue;
            addFault("priority_class " + priorityClass.name(), "guaranteed_percent",
                "all classes together are guaranteed " + formatNumber(guaranteedSum) + "%, more than 100%");
        }
    }

    void checkServices()
    {
        for (const auto& service : policy_.service()) {
            const std::string section = "service " + service.name();
            checkClass(section, "default_class", service.default_class());
            if (service.connections() < service.slots())
                addFault(section, "connections",
                    "must be at least slots (" + std::to_string(service.slots()) + ")");
        }
    }

    void checkObjectives()
    {
        std::set<std::pair<std::string, std::string>> seenKeys;
        for (const auto& objective : policy_.objective()) {
            const std::string section = "objective " + objective.name();
            checkClass(section, "priority_class", objective.priority_class());
            const bool isKnown = std::any_of(policy_.service().begin(), policy_.service().end(),
                [&](const auto& service) { return service.name() == objective.service(); });
            if (!isKnown && !objective.service().empty())
                addFault(section, "service", "'" + objective.service() + "' has no section [service ...]");
            if (!seenKeys.emplace(objective.service(), objective.priority_class()).second)
                addFault(section, "priority_class", "this service and class have another objective already");
        }
    }

    void checkGiveWay()
    {
        std::set<std::string> seenKeys;
        for (const std::string& step : policy_.give_way().order()) {
            if (!seenKeys.insert(step).second)
                addFault("give_way", "order", "step '" + step + "' is given twice");
        }
    }

    void checkLinks()
    {
        std::set<std::pair<std::string, std::string>> seenKeys;
        for (const auto& link : policy_.link()) {
            const std::string section = "link " + link.name();
            if (link.from().empty() || link.to().empty())
                continue;
            if (link.from() == link.to())
                addFault(section, "to", "is the same region as from");
            else if (!seenKeys.insert(std::minmax(link.from(), link.to())).second)
                addFault(section, "to", "these two regions have another link already");
        }
    }

private:
    void checkClass(const std::string& section, const std::string& key, const std::string& name)
    {
        const bool isKnown = std::any_of(policy_.priority_class().begin(), policy_.priority_class().end(),
            [&](const auto& priorityClass) { return priorityClass.name() == name; });
        // An empty name has already been reported as missing.
        if (!isKnown && !name.empty())
            addFault(section, key, "'" + name + "' has no section [priority_class ...]");
    }

    void addFault(const std::string& section, const std::string& key, const std::string& message)
    {
        faults_.push_back({ std::string(document_), section, key, message });
    }

    const Schema::PolicyDocument& policy_;
    std::string_view document_;
    Faults& faults_;
};

} // namespace

void checkSections(const Schema::PolicyDocument& policy, std::string_view document, Faults& faults)
{
    SectionChecker checker(policy, document, faults);
    checker.checkPriorityClasses();
    checker.checkServices();
    checker.checkObjectives();
    checker.checkGiveWay();
    checker.checkLinks();
}

} // namespace Configuration::Internal
