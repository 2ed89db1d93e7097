#include "requesttypes.h"

namespace Requests {

const char* outcomeName(Outcome outcome)
{
    static constexpr const char* names[] = { "completed", "not-run", "unknown" };
    return names[static_cast<std::size_t>(outcome)];
}

const char* rejectReasonName(RejectReason reason)
{
    static constexpr const char* names[]
        = { "queue-full", "queue-timeout", "deadline-passed", "no-backend", "stopping" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace Requests
