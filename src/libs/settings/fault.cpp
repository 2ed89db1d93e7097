#include "fault.h"

namespace Settings {

std::string Fault::toString() const
{
    std::string text = file + ": ";
    if (!section.empty())
        text += "[" + section + "] ";
    if (!key.empty())
        text += key + ": ";
    return text + message;
}

std::string faultsToString(std::span<const Fault> faults)
{
    std::string text;
    for (const Fault& fault : faults)
        text += fault.toString() + "\n";
    return text;
}

} // namespace Settings
