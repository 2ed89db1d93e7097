#include <placement/freecapacityindex.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using Placement::FreeCapacityIndex;
using Placement::Resources;
using Placement::WorkerIndex;

TEST_CASE("Sampled workers fit, are distinct and are found whenever one exists")
{
    std::mt19937_64 random(11);
    FreeCapacityIndex index;
    std::map<WorkerIndex, Resources> known;
    std::vector<WorkerIndex> candidates;
    for (int step = 0; step < 20000; ++step) {
        const auto worker = static_cast<WorkerIndex>(random() % 60);
        if (random() % 5 == 0) {
            index.remove(worker);
            known.erase(worker);
        } else {
            known[worker] = { static_cast<std::int64_t>(random() % 32000),
                static_cast<std::int64_t>(random() % 125000), static_cast<std::int64_t>(random() % 2) };
            index.update(worker, known[worker]);
        }
        const Resources need { static_cast<std::int64_t>(random() % 34000),
            static_cast<std::int64_t>(random() % 130000), static_cast<std::int64_t>(random() % 2) };
        index.sampleFitting(need, 8, random, candidates);
        for (const WorkerIndex found : candidates)
            REQUIRE((known.contains(found) && need.fitsIn(known[found])));
        REQUIRE(std::set<WorkerIndex>(candidates.begin(), candidates.end()).size() == candidates.size());
        const bool exists
            = std::ranges::any_of(known, [&need](const auto& entry) { return need.fitsIn(entry.second); });
        REQUIRE(candidates.empty() != exists);
    }
}
