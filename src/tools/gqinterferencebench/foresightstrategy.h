#pragma once

#include "fakefleet.h"

namespace Bench {

/*! Places with the true sizes, interference and load of the services, now and for some time ahead. */
class ForesightStrategy final : public Strategy {
public:
    std::string name() const override { return "clairvoyant"; }
    void begin(FakeFleet& fleet) override;
    void round(FakeFleet& fleet) override;

private:
    double worstRatio(const FakeFleet& fleet, const Usage& usage) const;
    bool hasMemory(const FakeFleet& fleet, std::size_t worker, const WorkTask& task) const;
    bool place(FakeFleet& fleet, std::size_t task);
    void setShares(FakeFleet& fleet);

    double processors_ = 0;
};

} // namespace Bench
