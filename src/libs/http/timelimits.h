#pragma once

#include "utils/clock.h"

#include <algorithm>

namespace Http {

/*!
    Time limits of an exchange, counted from Client::send().

    An exchange with a bulk response ends only if nothing has been received for a while, because repeating it
    from the beginning would load a slow path even more.
*/
struct TimeLimits {
    /*! Returns limits of an exchange that ends after \a limit, whether bytes arrive or not. */
    static TimeLimits total(Utils::Duration limit) { return { limit, limit, {} }; }

    /*!
        Returns limits of an exchange with a bulk response.
        \param start the exchange may last this long in any case, whether bytes arrive or not.
        \param silence it may last longer than \a start while no gap between received bytes is longer.
        \param end the whole exchange lasts no longer than this.
    */
    static TimeLimits bulk(Utils::Duration start, Utils::Duration silence, Utils::Duration end)
    {
        return { start, std::max(start, end), silence };
    }

    /*! Returns the limits for the rest of an exchange that has lasted for \a elapsed. */
    TimeLimits after(Utils::Duration elapsed) const { return { start - elapsed, end - elapsed, silence }; }

    Utils::Duration start {}; //!< The exchange may last this long in any case.
    Utils::Duration end {}; //!< It never lasts longer.
    Utils::Duration silence {}; //!< Longest gap between received bytes after `start`.
};

} // namespace Http
