#include <utils/sharded.h>

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

TEST_CASE("Concurrent updates of all shards take effect")
{
    constexpr int threadCount = 4;
    constexpr int updatesPerThread = 5000;
    Utils::Sharded<int> counters(8);
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&counters] {
            for (int update = 0; update < updatesPerThread; ++update)
                counters.withShard(std::to_string(update), [](int& counter) { ++counter; });
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    int total = 0;
    counters.forEachShard([&total](int counter) { total += counter; });
    CHECK(total == threadCount * updatesPerThread);
}
