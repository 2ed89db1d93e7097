#pragma once

#include "requesttypes.h"

#include <platform.pb.h>
#include <requests.pb.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Requests {

/*! Read the row and call KeyClaim::onRowRead(). */
struct ReadKeyRow { };

/*! Write the record if the row has the expected version, and call one of the write events. */
struct WriteKeyRow {
    std::uint64_t expectedVersion = 0;
    Schema::KeyRecord record;
};

/*! The claim is held: the request may be sent once. */
struct KeyGranted { };

/*! The request is already known: answer with its record. */
struct KeyKnown {
    Outcome outcome = Outcome::Unknown;
    Schema::KeyRecord record;
};

/*! Another submission holds the claim: read the row again later, or answer "unknown". */
struct KeyInProgress { };

/*! The key was used for another request. */
struct KeyMismatch { };

/*!
    The table did not answer or the row is unreadable: answer "unknown", because an earlier send under the key
    may have run.
*/
struct KeyUnavailable { };

using KeyStep
    = std::variant<ReadKeyRow, WriteKeyRow, KeyGranted, KeyKnown, KeyInProgress, KeyMismatch, KeyUnavailable>;

/*! \return the key of the row that stores an idempotency key of a service. */
std::string keyRowName(std::string_view service, std::string_view key);

/*! Identifies one submission of a request with a key. */
struct KeyClaimDescription {
    std::string claimId; //!< Unique for each submission.
    std::string claimer; //!< Name of this entry VM.
    std::string fingerprint; //!< Digest of method, path and body.
    std::int64_t claimedAtUnixMs = 0;
};

/*!
    Claims the idempotency key of one request and records the outcome after the request was sent once.

    The record is written on the condition that the row has not been written since it was read, so that only
    one of several claims is granted. A claim whose write was not answered is written again under the same
    condition until the row shows whose claim it holds. A claim is never taken over from another claimer: if
    that claimer dies, the outcome stays unknown.
*/
class KeyClaim {
public:
    explicit KeyClaim(KeyClaimDescription description);

    /*! \return the first step: a write without a read before it, because most keys are new. */
    KeyStep start() const { return WriteKeyRow { 0, claimRecord() }; }

    /*!
        Decides on the content of the row.
        \param row the row; its version is 0 if it does not exist.
        \return the next step.
    */
    KeyStep onRowRead(const Schema::Row& row);

    /*!
        Handles the answer to a write of the claim.
        \param isCommitted whether the write took effect.
        \param version the new version of the row if the write took effect.
        \return the next step.
    */
    KeyStep onWriteAnswered(bool isCommitted, std::uint64_t version);

    /*! Handles a write that may or may not have taken effect. \return the next step. */
    KeyStep onWriteOutcomeUnknown();

    /*! Handles an unavailable table while no write is known to have taken effect. \return the next step. */
    KeyStep onTableUnavailable() const;

    /*!
        Creates the write that records the outcome of the granted request. Repeat the write until it is
        resolved.
        \param answer status, content type and body if the outcome is Completed.
        \return the write; its condition fails only if it took effect before.
    */
    WriteKeyRow outcomeWrite(Outcome outcome, const Schema::KeyRecord& answer) const;

    /*! \return true if the claim may be stored in the table although it was not granted. */
    bool mayBeWritten() const { return mayBeWritten_ && grantedVersion_ == 0; }

private:
    Schema::KeyRecord claimRecord() const;

    KeyClaimDescription description_;
    std::uint64_t grantedVersion_ = 0;
    bool mayBeWritten_ = false;
};

} // namespace Requests
