#include "readiness.h"

#include <boost/json.hpp>

namespace Daemon {

void Readiness::set(std::string_view condition, std::string_view problem)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    problems_[std::string(condition)] = problem;
}

bool Readiness::isReady() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const auto& [condition, problem] : problems_) {
        if (!problem.empty())
            return false;
    }
    return true;
}

std::string Readiness::toJson() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    boost::json::object conditions;
    for (const auto& [condition, problem] : problems_)
        conditions[condition] = problem.empty() ? "ok" : problem;
    return boost::json::serialize(conditions);
}

} // namespace Daemon
