#pragma once

#include "jobrows.h"

#include <string>
#include <vector>

namespace Fleet {

/*! Rows that one transaction of a shard's owner changes. */
struct RecordBatch {
    std::vector<JobRow> puts;
    std::vector<std::string> removals; //!< Keys of rows.
    bool hasStarts = false; //!< Starts are sent once the batch is stored.
};

} // namespace Fleet
