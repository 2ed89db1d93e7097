#include "stepbudget.h"

namespace Fleet {

std::string_view nameOf(StepKind kind)
{
    static constexpr std::string_view names[stepKindCount] = { "preparation", "search", "reservation",
        "relocation", "grouping", "slowness", "attempts", "transfers", "waits", "calls" };
    return names[static_cast<std::size_t>(kind)];
}

} // namespace Fleet
