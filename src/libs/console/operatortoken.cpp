#include "operatortoken.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace Console {

namespace {

constexpr std::size_t minTokenLength = 16;
constexpr std::string_view whitespace = " \t\r\n";
constexpr char hexDigits[] = "0123456789abcdef";

// The comparison of the lengths reveals no secret: both are signatures unless the input is malformed.
bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

Utils::Result<OperatorToken> OperatorToken::read(const std::string& path)
{
    std::ifstream stream(path);
    std::ostringstream content;
    content << stream.rdbuf();
    std::string token = content.str();
    token.erase(0, std::min(token.find_first_not_of(whitespace), token.size()));
    token.erase(token.find_last_not_of(whitespace) + 1);
    if (!stream || token.size() < minTokenLength) {
        return Utils::Error { Utils::ErrorCode::InvalidArgument, "operator-token.read", {},
            "[security] operator_token_file: '" + path + "' must hold a token of at least "
                + std::to_string(minTokenLength) + " characters" };
    }
    return OperatorToken(std::move(token));
}

OperatorToken::OperatorToken(std::string token)
    : token_(std::move(token))
{
}

std::string OperatorToken::sign(std::string_view purpose, std::string_view text) const
{
    const std::string message = std::string(purpose) + ":" + std::string(text);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), token_.data(), static_cast<int>(token_.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &length);
    std::string hexText;
    for (unsigned int i = 0; i < length; ++i) {
        hexText += hexDigits[digest.at(i) >> 4U];
        hexText += hexDigits[digest.at(i) & 15U];
    }
    return hexText;
}

// Compares signatures, which always have the same length, so that the duration does not even depend on the
// length of the token.
bool OperatorToken::matches(std::string_view presented) const
{
    return equalInConstantTime(sign("token", presented), sign("token", token_));
}

std::string OperatorToken::makeSession(std::int64_t expiryUnixS) const
{
    const std::string expiry = std::to_string(expiryUnixS);
    return expiry + "." + sign("session", expiry);
}

bool OperatorToken::isSession(std::string_view session, std::int64_t nowUnixS) const
{
    const std::size_t dot = session.find('.');
    if (dot == std::string_view::npos)
        return false;
    const std::string_view expiry = session.substr(0, dot);
    if (!equalInConstantTime(session.substr(dot + 1), sign("session", expiry)))
        return false;
    std::int64_t expiryUnixS = 0;
    std::from_chars(expiry.data(), expiry.data() + expiry.size(), expiryUnixS);
    return nowUnixS < expiryUnixS;
}

std::string OperatorToken::formToken(std::string_view session) const
{
    return sign("form", session);
}

bool OperatorToken::isFormToken(std::string_view session, std::string_view presented) const
{
    return equalInConstantTime(formToken(session), presented);
}

} // namespace Console
