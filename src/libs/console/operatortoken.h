#pragma once

#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Console {

/*!
    The secret token of the operators, with the sessions and form tokens derived from it for browsers.

    Sessions are signed with the token, so they are accepted by all consoles with the same token and need no
    server-side state. All comparisons take constant time. The token is never written to logs or responses.
*/
class OperatorToken {
public:
    /*!
        Reads the token from a file, without surrounding whitespace.
        \return an error if the file cannot be read or the token is shorter than 16 characters.
    */
    static Utils::Result<OperatorToken> read(const std::string& path);

    explicit OperatorToken(std::string token);

    /*! Returns whether \a presented is the token. */
    bool matches(std::string_view presented) const;

    /*!
        Creates a session for a browser that has presented the token.
        \param expiryUnixS expiry time in seconds since the Unix epoch (1970).
        \return the value of the session cookie.
    */
    std::string makeSession(std::int64_t expiryUnixS) const;

    /*! Returns whether the cookie value \a session has a valid signature and is not expired at \a nowUnixS.
     */
    bool isSession(std::string_view session, std::int64_t nowUnixS) const;

    /*! Returns the token that each state-changing form of the session must contain. */
    std::string formToken(std::string_view session) const;

    /*! Returns whether \a presented is the form token of the session. */
    bool isFormToken(std::string_view session, std::string_view presented) const;

private:
    std::string sign(std::string_view purpose, std::string_view text) const;

    std::string token_;
};

} // namespace Console
