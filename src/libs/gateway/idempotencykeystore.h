#pragma once

#include "http/message.h"
#include "requests/keyclaim.h"
#include "utils/clock.h"

#include <functional>
#include <memory>
#include <string>

namespace Platform {
class TableService;
}

namespace Gateway {

/*! A request with an idempotency key. */
struct KeyClaimRequest {
    std::string service;
    std::string key;
    std::string fingerprint; //!< Digest of method, path and body.
    Utils::TimePoint deadline {}; //!< The claim is given up then.
};

/*! How the claim of a key ended; the step is one of the final ones of Requests::KeyStep. */
struct KeyClaimResult {
    Requests::KeyStep step;
    std::shared_ptr<const Requests::KeyClaim> claim; //!< To record the outcome if granted.
    std::string rowKey;
};

/*! Takes the claimResult; called on a thread of the ledger, must not block. */
using KeyClaimCallback = std::function<void(KeyClaimResult)>;

/*!
    Claims idempotency keys in the table and records outcomes there; writes of many requests share commits.

    Safe for use from several threads. The destructor waits a bounded time for outcomes not yet recorded.
*/
class IdempotencyKeyStore {
public:
    /*!
        \param table the platform's table; must outlive the ledger.
        \param claimer name of this entry VM.
    */
    IdempotencyKeyStore(Platform::TableService& table, std::string claimer);
    ~IdempotencyKeyStore();
    IdempotencyKeyStore(const IdempotencyKeyStore&) = delete;
    IdempotencyKeyStore& operator=(const IdempotencyKeyStore&) = delete;

    /*!
        Claims a key.
        \param use the key and the request.
        \param decided called once.
    */
    void claim(const KeyClaimRequest& request, KeyClaimCallback callback);

    /*!
        Records the outcome of a granted request; tried until the table answers.
        \param claimResult the grant.
        \param outcome what is known.
        \param answer the answer, if completed.
    */
    void recordOutcome(
        const KeyClaimResult& claimResult, Requests::Outcome outcome, const Http::Response& response);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/*!
    Digest that tells requests under the same key apart.
    \param request the request.
    \return 32 hexadecimal digits over method, path and body.
*/
std::string requestFingerprint(const Http::Request& request);

/*!
    Answer to a request whose key was not granted.
    \param step the claimResult.
    \return the recorded answer, or an error with the outcome that is known.
*/
Http::Response keyClaimResponse(const Requests::KeyStep& step);

} // namespace Gateway
