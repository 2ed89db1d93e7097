#pragma once

#include <string>
#include <string_view>

namespace Utils {

/*! Kinds of failure that callers handle differently. */
enum class ErrorCode {
    InvalidArgument, //!< The input is invalid; retrying cannot succeed.
    NotFound, //!< The named item does not exist.
    Conflict, //!< A condition of a write was not met.
    Unavailable, //!< The peer could not be reached; nothing was sent.
    Refused, //!< The peer rejected the operation before executing any of it.
    Timeout, //!< The time limit passed before the operation started.
    OutcomeUnknown, //!< The operation may or may not have taken effect.
    Internal, //!< An invariant of this process was violated.
};

/*!
    Returns the name of an error code used in logs and responses: lower case with hyphens, for example
    "outcome-unknown".
*/
std::string_view errorCodeName(ErrorCode code);

/*! An error with the step and the peer at which it occurred. */
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string step; //!< The failed operation, for example "table.commit".
    std::string peer; //!< The remote endpoint, for example "10.0.0.7:8200"; empty if local.
    std::string message; //!< Description for operators.
    bool isPeerAbsent = false; //!< The peer's host answered that nothing listens at the address.

    /*! Returns the error as one line with code, step, peer and message. */
    std::string toString() const;
};

} // namespace Utils
