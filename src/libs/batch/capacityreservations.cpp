#include "capacityreservations.h"

#include <algorithm>

namespace Batch {

namespace {

// Sums of declared sizes drift by rounding; a task must still fit the capacity that an equal task freed.
constexpr double roundingTolerance = 1e-6;

} // namespace

void CapacityReservations::setCapacity(std::string_view worker, const Schema::TaskSize& capacity)
{
    entries_[std::string(worker)].capacity = capacity;
}

bool CapacityReservations::fits(std::string_view worker, const Schema::TaskSize& size) const
{
    return entries_.contains(worker) && sizeFits(freeCapacity(worker), size);
}

bool CapacityReservations::tryReserve(std::string_view worker, const Schema::TaskSize& size)
{
    if (!fits(worker, size))
        return false;
    reserve(worker, size);
    return true;
}

void CapacityReservations::reserve(std::string_view worker, const Schema::TaskSize& size)
{
    Entry& entry = entries_[std::string(worker)];
    entry.processors += size.processors();
    entry.memoryMb += size.memory_mb();
    entry.accelerators += size.accelerators();
}

void CapacityReservations::release(std::string_view worker, const Schema::TaskSize& size)
{
    Entry& entry = entries_[std::string(worker)];
    entry.processors -= size.processors();
    entry.memoryMb -= size.memory_mb();
    entry.accelerators -= size.accelerators();
}

Schema::TaskSize CapacityReservations::freeCapacity(std::string_view worker) const
{
    Schema::TaskSize freeCapacity;
    const auto found = entries_.find(worker);
    if (found == entries_.end())
        return freeCapacity;
    const Entry& entry = found->second;
    const std::int64_t accelerators = std::int64_t(entry.capacity.accelerators()) - entry.accelerators;
    freeCapacity.set_processors(std::max(0.0, entry.capacity.processors() - entry.processors));
    freeCapacity.set_memory_mb(std::max(0.0, entry.capacity.memory_mb() - entry.memoryMb));
    freeCapacity.set_accelerators(static_cast<std::uint32_t>(std::max<std::int64_t>(0, accelerators)));
    return freeCapacity;
}

bool CapacityReservations::fitsEmptyWorker(std::string_view worker, const Schema::TaskSize& size) const
{
    const auto found = entries_.find(worker);
    return found != entries_.end() && sizeFits(found->second.capacity, size);
}

bool sizeFits(const Schema::TaskSize& freeCapacity, const Schema::TaskSize& size)
{
    return size.processors() <= freeCapacity.processors() + roundingTolerance
        && size.memory_mb() <= freeCapacity.memory_mb() + roundingTolerance
        && size.accelerators() <= freeCapacity.accelerators();
}

void subtractSize(Schema::TaskSize& freeCapacity, const Schema::TaskSize& size)
{
    freeCapacity.set_processors(freeCapacity.processors() - size.processors());
    freeCapacity.set_memory_mb(freeCapacity.memory_mb() - size.memory_mb());
    freeCapacity.set_accelerators(freeCapacity.accelerators() - size.accelerators());
}

} // namespace Batch
