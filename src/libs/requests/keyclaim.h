#pragma once

#include "requesttypes.h"

#include <platform.pb.h>
#include <requests.pb.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Requests {

/*! Read the row and call KeyClaim::rowRead(). */
struct ReadKeyRow { };

/*! Write the record if the row has the version, and call one of the write events. */
struct WriteKeyRow {
    std::uint64_t expectedVersion = 0;
    Schema::KeyRecord record;
};

/*! The claim is held: the request may be sent once. */
struct KeyGranted { };

/*! The request is known already: answer with its record. */
struct KeyKnown {
    Outcome outcome = Outcome::Unknown;
    Schema::KeyRecord record;
};

/*! Another claim is in progress: read again later, or answer "unknown". */
struct KeyInProgress { };

/*! The key was used for another request. */
struct KeyMismatch { };

/*! The table gave no answer: answer "unknown", for an earlier send under the key may have run. */
struct KeyUnavailable { };

using KeyStep
    = std::variant<ReadKeyRow, WriteKeyRow, KeyGranted, KeyKnown, KeyInProgress, KeyMismatch, KeyUnavailable>;

/*!
    Row of a key.
    \param service name of the service.
    \param key the idempotency key.
    \return the row's key in the table.
*/
std::string keyRowName(std::string_view service, std::string_view key);

/*! What identifies one submission of a request with a key. */
struct KeyClaimDescription {
    std::string claimId; //!< Unique for each submission.
    std::string claimer; //!< This entry VM.
    std::string fingerprint; //!< Digest of method, path and body.
    std::int64_t claimedAtUnixMs = 0;
};

/*!
    Claims the idempotency key of one request, sends once, and records the outcome.

    The record is written on the condition that nobody wrote the row since it was read, so that of all claims
   one is granted. A claim whose answer was lost is written again under the same condition until the row tells
   whose it is. A claim is never taken from a claimer: if it dies, the outcome stays unknown.
*/
class KeyClaim {
public:
    /*! \param description what identifies the submission. */
    explicit KeyClaim(KeyClaimDescription description);

    /*! \return the first step: a write, since most keys are new. */
    KeyStep start() const { return WriteKeyRow { 0, claimRecord() }; }

    /*!
        The row was read.
        \param row it; version 0 if it does not exist.
        \return the next step.
    */
    KeyStep onRowRead(const Schema::Row& row);

    /*!
        The write was answered.
        \param committed whether it took effect.
        \param version of the row, if it did.
        \return the next step.
    */
    KeyStep onWriteAnswered(bool isCommitted, std::uint64_t version);

    /*! The write may have taken effect. \return the next step. */
    KeyStep onWriteOutcomeUnknown();

    /*! The table is down; nothing is known to be written. \return the next step. */
    KeyStep onTableUnavailable() const;

    /*!
        The write that records the outcome of the granted request; repeat it until it is resolved.
        \param outcome what is known.
        \param answer status, content type and body, if completed.
        \return the write; it fails only if it took effect before.
    */
    WriteKeyRow outcomeWrite(Outcome outcome, const Schema::KeyRecord& answer) const;

    /*! \return true if the claim may stand in the table though it was not granted. */
    bool mayBeWritten() const { return mayBeWritten_ && grantedVersion_ == 0; }

private:
    Schema::KeyRecord claimRecord() const;

    KeyClaimDescription description_;
    std::uint64_t grantedVersion_ = 0;
    bool mayBeWritten_ = false;
};

} // namespace Requests
