#pragma once

#include "settings/fault.h"

#include <policy.pb.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Configuration {

/*! An accepted configuration and the document parsed from it; immutable. */
struct ConfigurationInForce {
    Schema::AcceptedConfiguration accepted;
    Schema::PolicyDocument policy;
};

/*! Outcome of offering an accepted configuration to the cache. */
enum class OfferOutcome {
    Applied, //!< The offered configuration is now in force.
    NotNewer, //!< Same revision and digest as in force, a lower revision, or revision 0.
    Conflicting, //!< Same revision as the configuration in force, but another digest; ignored.
    Invalid, //!< The digest does not match or the text is invalid; ignored.
};

/*! Outcome of an offer, with the faults of the text if it is Invalid. */
struct OfferResult {
    OfferOutcome outcome = OfferOutcome::NotNewer;
    std::vector<Settings::Fault> faults;
};

/*!
    Holds the configuration in force in this process. Thread-safe.

    Only higher revisions are applied. To reduce lock contention, each reader thread is mapped to one of
    several slots and only locks that slot. revision() is updated after all slots hold the new configuration,
    so a reported revision is in force in the whole process.
*/
class ConfigurationCache {
public:
    /*! \param slotCount number of reader slots, at least 1; about the number of reader threads. */
    explicit ConfigurationCache(std::size_t slotCount);
    ~ConfigurationCache();

    /*! Applies a configuration received from the table or a peer if its revision is higher. */
    OfferResult offer(const Schema::AcceptedConfiguration& accepted);

    /*!
        Returns the configuration in force, or null if there is none. Successive calls on one thread never
        return an older revision.
    */
    std::shared_ptr<const ConfigurationInForce> current() const;

    /*! Returns the revision that is in force for all threads; 0 if there is none. */
    std::uint64_t revision() const;

    /*! Returns whether a configuration is in force. */
    bool isReady() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Configuration
