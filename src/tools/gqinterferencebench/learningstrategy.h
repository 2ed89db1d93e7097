#pragma once

#include "fakefleet.h"

#include <map>

namespace Bench {

/*! The library under measurement: placement engine and give-way controller. */
class LearningStrategy final : public Strategy {
public:
    /*!
        \param givesLessThanDeclared whether tasks may be given less than they declare.
    */
    explicit LearningStrategy(bool allowsLessThanDeclared);

    std::string name() const override { return title_; }
    void begin(FakeFleet& fleet) override;
    void round(FakeFleet& fleet) override;
    void onUsage(FakeFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage) override;
    void onEnded(FakeFleet& fleet, std::size_t task, Placement::AttemptOutcome end) override;
    void onWorker(FakeFleet& fleet, std::size_t worker, bool isLive) override;

private:
    Placement::TaskRequest requestOf(const FakeFleet& fleet, std::size_t task) const;
    void addWorker(FakeFleet& fleet, std::size_t worker);
    bool place(FakeFleet& fleet, std::size_t task);
    void makeRoom(FakeFleet& fleet, std::size_t task);
    void preemptOn(FakeFleet& fleet, std::size_t worker, const Placement::PreemptionCommand& command);
    std::vector<std::size_t> orderOf(const FakeFleet& fleet) const;

    std::string title_;
    Placement::PlacementEngine engine_;
    Placement::PreemptionController controller_;
    std::mt19937_64 random_ { 1 };
    std::vector<Placement::WorkerIndex> indices_; //!< Of the engine, by worker.
    std::vector<std::size_t> workersByIndex_;
    std::map<std::size_t, double> roomMadeAt_; //!< By urgent task, in seconds.
    Placement::AttemptId nextReplica_;
};

} // namespace Bench
