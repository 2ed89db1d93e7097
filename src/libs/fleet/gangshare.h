#pragma once

#include <cstdint>
#include <string>

namespace Fleet {

/*! Members of a gang that one shard is to run. */
struct GangShare {
    std::string shard;
    std::uint32_t count = 0;
};

} // namespace Fleet
