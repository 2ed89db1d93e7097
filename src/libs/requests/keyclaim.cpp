#include "keyclaim.h"

namespace Requests {

std::string keyRowName(std::string_view service, std::string_view key)
{
    std::string name = "request-keys/";
    name += service;
    name += '/';
    name += key;
    return name;
}

KeyClaim::KeyClaim(KeyClaimDescription description)
    : description_(std::move(description))
{
}

KeyStep KeyClaim::onRowRead(const Schema::Row& row)
{
    if (row.version() == 0)
        return WriteKeyRow { 0, claimRecord() };
    Schema::KeyRecord record;
    if (!record.ParseFromString(row.value()))
        return KeyUnavailable {};
    if (record.claim_id() == description_.claimId && record.phase() == Schema::KEY_PHASE_CLAIMED) {
        grantedVersion_ = row.version();
        return KeyGranted {};
    }
    if (record.fingerprint() != description_.fingerprint)
        return KeyMismatch {};
    switch (record.phase()) {
    case Schema::KEY_PHASE_COMPLETED:
        return KeyKnown { Outcome::Completed, record };
    case Schema::KEY_PHASE_NOT_RUN:
        return WriteKeyRow { row.version(), claimRecord() };
    case Schema::KEY_PHASE_CLAIMED:
        return KeyInProgress {};
    default:
        return KeyKnown { Outcome::Unknown, record };
    }
}

KeyStep KeyClaim::onWriteAnswered(bool isCommitted, std::uint64_t version)
{
    if (!isCommitted)
        return ReadKeyRow {};
    grantedVersion_ = version;
    return KeyGranted {};
}

KeyStep KeyClaim::onWriteOutcomeUnknown()
{
    mayBeWritten_ = true;
    return ReadKeyRow {};
}

KeyStep KeyClaim::onTableUnavailable() const
{
    return KeyUnavailable {};
}

WriteKeyRow KeyClaim::outcomeWrite(Outcome outcome, const Schema::KeyRecord& answer) const
{
    WriteKeyRow write { grantedVersion_, claimRecord() };
    switch (outcome) {
    case Outcome::Completed:
        write.record.set_phase(Schema::KEY_PHASE_COMPLETED);
        write.record.set_status(answer.status());
        write.record.set_content_type(answer.content_type());
        write.record.set_body(answer.body());
        write.record.set_body_omitted(answer.body_omitted());
        break;
    case Outcome::NotRun:
        write.record.set_phase(Schema::KEY_PHASE_NOT_RUN);
        break;
    case Outcome::Unknown:
        write.record.set_phase(Schema::KEY_PHASE_UNKNOWN);
        break;
    }
    return write;
}

Schema::KeyRecord KeyClaim::claimRecord() const
{
    Schema::KeyRecord record;
    record.set_phase(Schema::KEY_PHASE_CLAIMED);
    record.set_claim_id(description_.claimId);
    record.set_claimer(description_.claimer);
    record.set_fingerprint(description_.fingerprint);
    record.set_claimed_unix_ms(description_.claimedAtUnixMs);
    return record;
}

} // namespace Requests
