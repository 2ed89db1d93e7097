#pragma once

#include <string>
#include <string_view>

namespace Utils {

/*! Kinds of failure that callers handle differently. */
enum class ErrorCode {
    InvalidArgument, //!< The input can never succeed.
    NotFound, //!< The named item does not exist.
    Conflict, //!< A condition of a write did not hold.
    Unavailable, //!< The peer could not be reached; nothing was sent.
    Refused, //!< The peer refused before it did anything.
    Timeout, //!< The time limit passed before the operation started.
    OutcomeUnknown, //!< The operation may or may not have taken effect.
    Internal, //!< An invariant of this process did not hold.
};

/*!
    Name of an error code as it stands in logs and answers.
    \param code the code.
    \return a lower-case name with hyphens, for example "outcome-unknown".
*/
std::string_view errorCodeName(ErrorCode code);

/*! A failure together with the step and the peer at which it arose. */
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string step; //!< What was being done, for example "table.commit".
    std::string peer; //!< The other side, for example "10.0.0.7:8200"; empty if local.
    std::string message; //!< A sentence for operators.

    /*! \return the error as one line: code, step, peer and message. */
    std::string toString() const;
};

} // namespace Utils
