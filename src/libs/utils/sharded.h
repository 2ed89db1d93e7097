#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

namespace Utils {

/*!
    State that is distributed over shards by key, with one lock per shard to reduce contention.

    Functions run with the lock of their shard held, so they must not access the same object again.
*/
template <typename State> class Sharded {
public:
    /*! \param shardCount at least 1. */
    explicit Sharded(std::size_t shardCount)
        : shards_(shardCount)
    {
    }

    /*!
        Calls \a function with a reference to the state of the shard that contains \a key.
        \return the result of the function.
    */
    template <typename Function> auto withShard(std::string_view key, Function&& function)
    {
        Shard& shard = shards_[std::hash<std::string_view> {}(key) % shards_.size()];
        const std::lock_guard<std::mutex> guard(shard.mutex);
        return std::forward<Function>(function)(shard.state);
    }

    /*! Calls \a function with a reference to the state of each shard, one after the other. */
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
