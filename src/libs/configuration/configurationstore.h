#pragma once

#include "policydifference.h"
#include "settings/fault.h"
#include "utils/result.h"

#include <policy.pb.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Platform {
class TableService;
}

namespace Configuration {

/*! A configuration change submitted by an operator. */
struct ConfigurationChange {
    std::string text; //!< INI text of the complete document.
    std::uint64_t baseRevision = 0; //!< Revision that the change is based on; 0 if there was none.
    std::string author;
    std::int64_t unixMs = 0; //!< Time of the change in milliseconds since the Unix epoch (1970).
    std::string writeId; //!< Unique id of the change; a change resubmitted with it gets the first outcome.
};

/*! The change was rejected because another one was accepted first. */
struct ChangeConflict {
    Schema::AcceptedConfiguration inForce; //!< The newest accepted configuration.
    std::vector<Difference> changedSinceBase; //!< Changes accepted since the base revision.
    std::vector<Difference>
        requestedChanges; //!< Changes that the rejected document would make to the newest one.
};

/*! Outcome of a change: accepted, in conflict with another change, or invalid. */
using ChangeOutcome
    = std::variant<Schema::AcceptedConfiguration, ChangeConflict, std::vector<Settings::Fault>>;

/*!
    Stores the accepted configuration and its history in the platform's table.

    One row holds the newest accepted configuration, and one row per revision holds the history; both are
    written in one commit. The history row of a revision is written only once, so its write id permanently
    identifies the change that became that revision. Old history rows are deleted as new ones are written.
    All functions block on the table.
*/
class ConfigurationStore {
public:
    /*! \param table must outlive the store. */
    explicit ConfigurationStore(Platform::TableService& table);

    /*! Returns the newest accepted configuration; its revision is 0 if there is none. */
    Utils::Result<Schema::AcceptedConfiguration> load() const;

    /*!
        Validates a change and accepts it if its base is still the newest revision.
        \return ErrorCode::OutcomeUnknown if the table did not report the outcome; the same change with the
        same write id may then be submitted again.
    */
    Utils::Result<ChangeOutcome> put(const ConfigurationChange& change) const;

    /*!
        Returns accepted configurations, newest first.
        \param beforeRevision only revisions before this one; 0 for all.
        \param limit maximum number.
    */
    Utils::Result<std::vector<Schema::AcceptedConfiguration>> history(
        std::uint64_t beforeRevision, std::uint32_t limit) const;

    /*! Returns an accepted configuration; ErrorCode::NotFound if the history does not contain it. */
    Utils::Result<Schema::AcceptedConfiguration> revision(std::uint64_t revision) const;

private:
    Utils::Result<ChangeOutcome> resolveConflict(const ConfigurationChange& change) const;
    Utils::Result<ChangeOutcome> commit(
        const ConfigurationChange& change, std::uint64_t rowVersion, std::string_view currentKey) const;

    Platform::TableService& table_;
};

} // namespace Configuration
