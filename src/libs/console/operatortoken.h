#pragma once

#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Console {

/*!
    The token that operators present, and what is derived from it for browsers.

    Sessions are signed with the token, so every console that has the same token accepts them and none
    keeps state. All comparisons take the same time whatever the input. The token is never written out.
*/
class OperatorToken {
public:
    /*!
        Reads the token from a file; blanks around it are dropped.
        \param path the file.
        \return the token, or an error if the file cannot be read or the token is shorter than 16 characters.
    */
    static Utils::Result<OperatorToken> read(const std::string& path);

    /*! \param token the token. */
    explicit OperatorToken(std::string token);

    /*! \param presented what a caller presents. \return true if it is the token. */
    bool matches(std::string_view presented) const;

    /*!
        Makes a session for a browser that has presented the token.
        \param expiryUnixS when it ends, in seconds since 1970.
        \return the value of the session cookie.
    */
    std::string makeSession(std::int64_t expiryUnixS) const;

    /*! \param session value of a cookie. \param nowUnixS the time. \return true if it is signed and not
     * expired. */
    bool isSession(std::string_view session, std::int64_t nowUnixS) const;

    /*! \param session a session. \return the text that each state-changing form of the session must carry. */
    std::string formToken(std::string_view session) const;

    /*! \param session a session. \param presented what a form carries. \return true if it is its form token.
     */
    bool isFormToken(std::string_view session, std::string_view presented) const;

private:
    std::string sign(std::string_view purpose, std::string_view text) const;

    std::string token_;
};

} // namespace Console
