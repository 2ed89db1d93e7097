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

/*! A change that an operator wants accepted. */
struct ConfigurationChange {
    std::string text; //!< INI text of the whole document.
    std::uint64_t baseRevision = 0; //!< Revision the operator started from; 0 if there was none.
    std::string author;
    std::int64_t unixMs = 0; //!< Time of the change, milliseconds since 1970.
    std::string writeId; //!< Unique id of the change; the same id again finds the first outcome.
};

/*! The change was refused because another one was accepted first. */
struct ChangeConflict {
    Schema::AcceptedConfiguration inForce; //!< The newest accepted configuration.
    std::vector<Difference> changedSinceBase; //!< What was accepted since the base revision.
    std::vector<Difference> requestedChanges; //!< What the refused change would alter in the newest one.
};

/*! Outcome of a change: accepted, lost to another one, or invalid. */
using ChangeOutcome
    = std::variant<Schema::AcceptedConfiguration, ChangeConflict, std::vector<Settings::Fault>>;

/*!
    Keeps the accepted configuration in the platform's table.

    One row holds the newest accepted configuration, one row per revision its history; both are written
    in one commit. The history row of a revision is written once and never again, so the id of its
    write tells for good which change became that revision. Old history rows are deleted as new ones
    are written. Calls block as the table service does.
*/
class ConfigurationStore {
public:
    /*! \param table the table service; must outlive the store. */
    explicit ConfigurationStore(Platform::TableService& table);

    /*! \return the newest accepted configuration; revision 0 if there is none. */
    Utils::Result<Schema::AcceptedConfiguration> load() const;

    /*!
        Validates a change and has it accepted if its base is still the newest revision.
        \param change the change.
        \return the outcome; ErrorCode::OutcomeUnknown if the table could not tell it in time, in which
                case the same change with the same write id may be put again.
    */
    Utils::Result<ChangeOutcome> put(const ConfigurationChange& change) const;

    /*!
        Accepted configurations, newest first.
        \param beforeRevision only older ones than this; 0 for all.
        \param limit greatest number.
        \return the configurations.
    */
    Utils::Result<std::vector<Schema::AcceptedConfiguration>> history(
        std::uint64_t beforeRevision, std::uint32_t limit) const;

    /*!
        One accepted configuration.
        \param revision its revision.
        \return the configuration; ErrorCode::NotFound if it is not kept.
    */
    Utils::Result<Schema::AcceptedConfiguration> revision(std::uint64_t revision) const;

private:
    Utils::Result<ChangeOutcome> resolveConflict(const ConfigurationChange& change) const;
    Utils::Result<ChangeOutcome> commit(
        const ConfigurationChange& change, std::uint64_t rowVersion, std::string_view currentKey) const;

    Platform::TableService& table_;
};

} // namespace Configuration
