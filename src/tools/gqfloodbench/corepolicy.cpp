#include "corepolicy.h"

#include <requests/slotdivision.h>

#include <policy.pb.h>

namespace FloodBench {

namespace {

Schema::PolicyDocument policyOf(const Scenario& scenario)
{
    Schema::PolicyDocument policy;
    std::uint32_t rank = 0;
    for (const ClassLoad& load : scenario.classes) {
        Schema::PriorityClassPolicy* target = policy.add_priority_class();
        target->set_name(load.name);
        target->set_rank(rank++);
        target->set_guaranteed_percent(load.guaranteedShare * 100);
        target->set_ceiling_percent(load.ceilingShare * 100);
        target->set_max_queue_ms(
            static_cast<std::uint32_t>(load.maxQueueTime / std::chrono::milliseconds(1)));
    }
    return policy;
}

} // namespace

CorePolicy::CorePolicy(const Scenario& scenario, const std::string& domain, std::uint32_t index,
    std::uint32_t members, std::span<const Requests::Backend> backends)
    : core_({ .service = "app", .domain = domain, .region = "r", .seed = scenario.seed * 100 + index })
{
    const Utils::TimePoint start {};
    core_.setPolicy(policyOf(scenario), start);
    core_.setBackends(backends, start);
    Schema::CreditDivision division;
    for (std::uint32_t member = 0; member < members; ++member)
        division.add_members()->set_name(std::to_string(member));
    for (const Requests::Backend& backend : backends) {
        const std::uint32_t share
            = Requests::slotShare(division, std::to_string(index), 0, backend.name, backend.slots);
        core_.setCredits(backend.name, share, Utils::TimePoint::max(), start);
    }
}

void CorePolicy::submit(const Requests::RequestDescription& description, Utils::TimePoint now)
{
    core_.submit(description, now);
}

void CorePolicy::onAttemptEnded(Requests::AttemptId attempt, AttemptResult result, Utils::TimePoint now)
{
    switch (result) {
    case AttemptResult::Completed:
        core_.onAttemptCompleted(attempt, 200, now);
        return;
    case AttemptResult::Failed:
        core_.onAttemptCompleted(attempt, 500, now);
        return;
    case AttemptResult::Refused:
        core_.onAttemptRefused(attempt, Requests::RefusalKind::Overloaded, now);
        return;
    case AttemptResult::Closed:
        core_.onAttemptBroken(attempt, now);
        return;
    }
}

void CorePolicy::takeActions(std::vector<Requests::Action>& actions)
{
    const std::size_t first = actions.size();
    core_.takeActions(actions);
    // The simulated connections are always open, so the first byte is sent right after the Dispatch.
    for (std::size_t index = first; index < actions.size(); ++index) {
        if (const auto* dispatch = std::get_if<Requests::Dispatch>(&actions[index]))
            core_.beginSending(dispatch->attempt, {});
    }
}

} // namespace FloodBench
