#include "error.h"

namespace Utils {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorCode::Internal:
        break;
    }
    return "internal";
}

std::string Error::toString() const
{
    std::string text(errorCodeName(code));
    text += " at " + step;
    if (!peer.empty())
        text += " with " + peer;
    if (!message.empty())
        text += ": " + message;
    return text;
}

} // namespace Utils
