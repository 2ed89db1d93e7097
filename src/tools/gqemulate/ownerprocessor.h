#pragma once

#include <cstddef>
#include <cstdint>

namespace Emulate {

/*! What a pass of an owner costs on its node, whose event loop is one thread. */
struct OwnerProcessor {
    static constexpr std::int64_t defaultStepNs = 10;

    std::int64_t stepNs = defaultStepNs; //!< Time that a step takes on a whole processor.
    double share = 0; //!< Share of a processor that a node has; 0: passes take no time.

    /*! \return whether passes take time. */
    bool isCharged() const { return share > 0; }

    /*!
        \param steps steps of a pass.
        \return the time for which they occupy the node, in ns.
    */
    std::int64_t timeNs(std::size_t steps) const
    {
        return isCharged()
            ? static_cast<std::int64_t>(static_cast<double>(steps) * static_cast<double>(stepNs) / share)
            : 0;
    }
};

} // namespace Emulate
