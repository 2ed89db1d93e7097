#include "presumedcrashes.h"

#include <algorithm>
#include <iterator>

namespace Fleet {

template <typename Condition> std::vector<PresumedCrash> PresumedCrashes::takeIf(const Condition& condition)
{
    const auto taken = std::stable_partition(
        crashes_.begin(), crashes_.end(), [&](const PresumedCrash& crash) { return !condition(crash); });
    std::vector<PresumedCrash> result(std::make_move_iterator(taken), std::make_move_iterator(crashes_.end()));
    crashes_.erase(taken, crashes_.end());
    return result;
}

std::vector<PresumedCrash> PresumedCrashes::takeAllOf(const std::string& worker)
{
    return takeIf([&](const PresumedCrash& crash) { return crash.worker == worker; });
}

std::vector<PresumedCrash> PresumedCrashes::takeOlderThan(Utils::TimePoint time)
{
    return takeIf([&](const PresumedCrash& crash) { return crash.presumedAt < time; });
}

void PresumedCrashes::forget(const Ports::TaskKey& task)
{
    std::erase_if(crashes_, [&](const PresumedCrash& crash) { return crash.task == task; });
}

} // namespace Fleet
