#pragma once

#include "settings/fault.h"

#include <policy.pb.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Configuration {

/*! A configuration in force: what was accepted and the document parsed from it. Never changes. */
struct ConfigurationInForce {
    Schema::AcceptedConfiguration accepted;
    Schema::PolicyDocument policy;
};

/*! What became of an accepted configuration offered to the cache. */
enum class OfferOutcome {
    Applied, //!< It is in force now.
    NotNewer, //!< The one in force has the same or a higher revision.
    Conflicting, //!< Same revision as the one in force with another digest; nothing was changed.
    Invalid, //!< Its digest or its text is wrong; nothing was changed.
};

/*! Outcome of an offer and, if the text was invalid, its faults. */
struct OfferResult {
    OfferOutcome outcome = OfferOutcome::NotNewer;
    std::vector<Settings::Fault> faults;
};

/*!
    The configuration in force in this process.

    Only higher revisions are applied. Readers take the lock of one shard only. revision() is raised
    after all shards hold the new configuration, so what a process reports is in force in all of it.
*/
class ConfigurationCache {
public:
    /*! \param shardCount number of reader shards, at least 1; about one a thread. */
    explicit ConfigurationCache(std::size_t slotCount);
    ~ConfigurationCache();

    /*!
        Offers an accepted configuration from the table or a peer.
        \param accepted the configuration.
        \return whether it was applied and, if not, why.
    */
    OfferResult offer(const Schema::AcceptedConfiguration& accepted);

    /*! \return the configuration in force as this thread sees it, never an older one than before; null if
     * none. */
    std::shared_ptr<const ConfigurationInForce> current() const;

    /*! \return revision that all threads have in force; 0 if none. */
    std::uint64_t revision() const;

    /*! \return true once a configuration is in force. */
    bool isReady() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Configuration
