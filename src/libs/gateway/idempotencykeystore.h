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

/*! Parameters of the claim of an idempotency key. */
struct KeyClaimRequest {
    std::string service;
    std::string key;
    std::string fingerprint; //!< From requestFingerprint().
    Utils::TimePoint deadline {}; //!< The claim fails if it is undecided at this time.
};

/*! Result of a claim; the step is one of the final steps of Requests::KeyStep. */
struct KeyClaimResult {
    Requests::KeyStep step;
    std::shared_ptr<const Requests::KeyClaim> claim; //!< Used to record the outcome if the key was granted.
    std::string rowKey;
};

/*! Receives the result of a claim; called on a thread of the key store, must not block. */
using KeyClaimCallback = std::function<void(KeyClaimResult)>;

/*!
    Claims idempotency keys and records the outcomes of their requests in the table. Writes of several
    requests are batched into one commit.

    Thread-safe. The destructor waits for a limited time until pending outcomes are recorded.
*/
class IdempotencyKeyStore {
public:
    /*!
        \param table must outlive the key store.
        \param claimer name of this entry VM.
    */
    IdempotencyKeyStore(Platform::TableService& table, std::string claimer);
    ~IdempotencyKeyStore();
    IdempotencyKeyStore(const IdempotencyKeyStore&) = delete;
    IdempotencyKeyStore& operator=(const IdempotencyKeyStore&) = delete;

    /*! Claims a key; \a callback is called once. */
    void claim(const KeyClaimRequest& request, KeyClaimCallback callback);

    /*!
        Records the outcome of a request whose key was granted, retrying while the table is unavailable.
        \param response the response of the backend server if the outcome is Completed.
    */
    void recordOutcome(
        const KeyClaimResult& claimResult, Requests::Outcome outcome, const Http::Response& response);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/*!
    Returns a digest that distinguishes requests with the same key: 32 hexadecimal digits that cover method,
    target and body.
*/
std::string requestFingerprint(const Http::Request& request);

/*!
    Creates the response to a request whose key was not granted: the recorded response, or an error with the
    known outcome.
*/
Http::Response keyClaimResponse(const Requests::KeyStep& step);

} // namespace Gateway
