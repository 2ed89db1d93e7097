#include "commitments.h"

#include <algorithm>

namespace Batch {

namespace {

// Sums of declared sizes drift by rounding; a task must fit the room that an equal one left.
constexpr double roundingTolerance = 1e-6;

} // namespace

void Commitments::setCapacity(std::string_view worker, const Schema::TaskSize& capacity)
{
    entries_[std::string(worker)].capacity = capacity;
}

bool Commitments::fits(std::string_view worker, const Schema::TaskSize& size) const
{
    return entries_.contains(worker) && sizeFits(free(worker), size);
}

bool Commitments::hold(std::string_view worker, const Schema::TaskSize& size)
{
    if (!fits(worker, size))
        return false;
    occupy(worker, size);
    return true;
}

void Commitments::occupy(std::string_view worker, const Schema::TaskSize& size)
{
    Entry& entry = entries_[std::string(worker)];
    entry.processors += size.processors();
    entry.memoryMb += size.memory_mb();
    entry.accelerators += size.accelerators();
}

void Commitments::release(std::string_view worker, const Schema::TaskSize& size)
{
    Entry& entry = entries_[std::string(worker)];
    entry.processors -= size.processors();
    entry.memoryMb -= size.memory_mb();
    entry.accelerators -= size.accelerators();
}

Schema::TaskSize Commitments::free(std::string_view worker) const
{
    Schema::TaskSize room;
    const auto found = entries_.find(worker);
    if (found == entries_.end())
        return room;
    const Entry& entry = found->second;
    const std::int64_t accelerators = std::int64_t(entry.capacity.accelerators()) - entry.accelerators;
    room.set_processors(std::max(0.0, entry.capacity.processors() - entry.processors));
    room.set_memory_mb(std::max(0.0, entry.capacity.memory_mb() - entry.memoryMb));
    room.set_accelerators(static_cast<std::uint32_t>(std::max<std::int64_t>(0, accelerators)));
    return room;
}

bool Commitments::fitsEmpty(std::string_view worker, const Schema::TaskSize& size) const
{
    const auto found = entries_.find(worker);
    return found != entries_.end() && sizeFits(found->second.capacity, size);
}

bool sizeFits(const Schema::TaskSize& room, const Schema::TaskSize& size)
{
    return size.processors() <= room.processors() + roundingTolerance
        && size.memory_mb() <= room.memory_mb() + roundingTolerance
        && size.accelerators() <= room.accelerators();
}

void takeSize(Schema::TaskSize& room, const Schema::TaskSize& size)
{
    room.set_processors(room.processors() - size.processors());
    room.set_memory_mb(room.memory_mb() - size.memory_mb());
    room.set_accelerators(room.accelerators() - size.accelerators());
}

} // namespace Batch
