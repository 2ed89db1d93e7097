#pragma once

#include "entrypolicy.h"
#include "scenario.h"

#include <requests/requestcore.h>

#include <span>

namespace FloodBench {

/*! Policy that uses Requests::RequestCore. */
class CorePolicy final : public EntryPolicy {
public:
    /*!
        \param scenario priority classes and seed.
        \param domain failure domain of the entry VM.
        \param index index of the entry VM in its domain.
        \param members number of entry VMs in the domain.
        \param backends backend servers of the domain.
    */
    CorePolicy(const Scenario& scenario, const std::string& domain, std::uint32_t index,
        std::uint32_t members, std::span<const Requests::Backend> backends);

    void submit(const Requests::RequestDescription& description, Utils::TimePoint now) override;
    void onAttemptEnded(Requests::AttemptId attempt, AttemptResult result, Utils::TimePoint now) override;
    void tick(Utils::TimePoint now) override { core_.tick(now); }
    std::optional<Utils::TimePoint> nextWakeup() const override { return core_.nextWakeup(); }
    void takeActions(std::vector<Requests::Action>& actions) override;

private:
    Requests::RequestCore core_;
};

} // namespace FloodBench
