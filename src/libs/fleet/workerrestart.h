#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <string>

namespace Fleet {

struct Worker;

/*! A worker that has started again under its identifier, as its first report shows. */
struct WorkerRestart {
    std::string worker;
    std::int64_t formerStartUnixMs = 0; //!< Start of the incarnation that reported before.
    std::int64_t startUnixMs = 0;
    std::int64_t formerReportAgeMs = -1; //!< Age of the former incarnation's latest report.
    std::size_t attemptCount = 0; //!< Open attempts at the worker.
    bool mayHoldFormerLease = false; //!< As in Worker.
    std::size_t unconfirmedCount = 0; //!< Those of them that neither an answer nor a report has confirmed.
};

/*! \return the restart of \p worker, whose new incarnation has started at \p startUnixMs. */
WorkerRestart describeRestart(const Worker& worker, std::int64_t startUnixMs, Utils::TimePoint now);

} // namespace Fleet
