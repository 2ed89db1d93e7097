#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

namespace Utils {

/*!
    State split into shards by key, each shard under its own lock.

    The function given to withShard() runs under the lock of that shard; it must not call out.
*/
template <typename State> class Sharded {
public:
    /*! \param shardCount number of shards, at least 1. */
    explicit Sharded(std::size_t shardCount)
        : shards_(shardCount)
    {
    }

    /*!
        Runs a function on the shard of a key.
        \param key selects the shard.
        \param function called with a reference to the shard's state.
        \return what the function returns.
    */
    template <typename Function> auto withShard(std::string_view key, Function&& function)
    {
        Shard& shard = shards_[std::hash<std::string_view> {}(key) % shards_.size()];
        const std::lock_guard<std::mutex> guard(shard.mutex);
        return std::forward<Function>(function)(shard.state);
    }

    /*!
        Runs a function on every shard, one after the other.
        \param function called with a reference to each shard's state.
    */
    template <typename Function> void forEachShard(Function&& function)
    {
        for (Shard& shard : shards_) {
            const std::lock_guard<std::mutex> guard(shard.mutex);
            function(shard.state);
        }
    }

private:
    struct Shard {
        std::mutex mutex;
        State state;
    };

    std::vector<Shard> shards_;
};

} // namespace Utils
