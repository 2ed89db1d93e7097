#include "freecapacityindex.h"

#include <algorithm>
#include <bit>

namespace Placement {

namespace Internal {

constexpr std::int64_t milliProcessorsUnit = 125;
constexpr std::int64_t memoryUnitMb = 64;
constexpr std::size_t maxScannedWorkers = 1024;
constexpr std::size_t triesPerWorker = 3;

using Cells = std::vector<const std::vector<WorkerIndex>*>;

static WorkerIndex workerAt(std::span<const std::vector<WorkerIndex>* const> cells, std::size_t position)
{
    std::size_t cell = 0;
    while (position >= cells[cell]->size()) {
        position -= cells[cell]->size();
        ++cell;
    }
    return (*cells[cell])[position];
}

static bool contains(const std::vector<WorkerIndex>& workers, WorkerIndex worker)
{
    return std::ranges::find(workers, worker) != workers.end();
}

} // namespace Internal

int FreeCapacityIndex::level(std::int64_t amount, std::int64_t unit)
{
    if (amount < unit)
        return 0;
    const std::uint64_t ratio = static_cast<std::uint64_t>(amount / unit);
    const int octave = static_cast<int>(std::bit_width(ratio)) - 1;
    const bool upperHalf = octave > 0 && ((ratio >> (octave - 1)) & 1U) != 0;
    return std::min(1 + 2 * octave + (upperHalf ? 1 : 0), levelCount - 1);
}

void FreeCapacityIndex::update(WorkerIndex worker, const Resources& available)
{
    if (worker >= entries_.size())
        entries_.resize(worker + 1);
    const int row = level(available.milliProcessors, Internal::milliProcessorsUnit);
    const int column = level(available.memoryMb, Internal::memoryUnitMb);
    const std::int32_t cell = row * levelCount + column;
    Entry& entry = entries_[worker];
    const bool staysInGrid = (entry.available.accelerators > 0) == (available.accelerators > 0);
    if (entry.cell == cell && staysInGrid) {
        entry.available = available;
        return;
    }
    remove(worker);
    Grid& grid = available.accelerators > 0 ? acceleratorGrid_ : plainGrid_;
    std::vector<WorkerIndex>& members = grid.cells[cell];
    entry = { available, static_cast<std::uint32_t>(members.size()), cell };
    members.push_back(worker);
    grid.occupied[row] |= 1U << column;
}

void FreeCapacityIndex::remove(WorkerIndex worker)
{
    if (worker >= entries_.size() || entries_[worker].cell < 0)
        return;
    Entry& entry = entries_[worker];
    Grid& grid = entry.available.accelerators > 0 ? acceleratorGrid_ : plainGrid_;
    std::vector<WorkerIndex>& members = grid.cells[entry.cell];
    members[entry.position] = members.back();
    entries_[members.back()].position = entry.position;
    members.pop_back();
    if (members.empty())
        grid.occupied[entry.cell / levelCount] &= ~(1U << (entry.cell % levelCount));
    entry.cell = -1;
}

void FreeCapacityIndex::sampleFitting(const Resources& need, std::size_t count, std::mt19937_64& random,
    std::vector<WorkerIndex>& candidates) const
{
    candidates.clear();
    if (need.accelerators == 0)
        sampleGrid(plainGrid_, need, count, random, candidates);
    if (candidates.empty())
        sampleGrid(acceleratorGrid_, need, count, random, candidates);
}

void FreeCapacityIndex::sampleAny(
    std::size_t count, std::mt19937_64& random, std::vector<WorkerIndex>& candidates) const
{
    std::vector<WorkerIndex> accelerated;
    candidates.clear();
    sampleGrid(plainGrid_, {}, count, random, candidates);
    sampleGrid(acceleratorGrid_, {}, count, random, accelerated);
    candidates.insert(candidates.end(), accelerated.begin(), accelerated.end());
}

void FreeCapacityIndex::sampleGrid(const Grid& grid, const Resources& need, std::size_t count,
    std::mt19937_64& random, std::vector<WorkerIndex>& candidates) const
{
    const int firstRow = level(need.milliProcessors, Internal::milliProcessorsUnit);
    const int firstColumn = level(need.memoryMb, Internal::memoryUnitMb);
    Internal::Cells cells;
    std::size_t total = 0;
    for (int row = firstRow; row < levelCount; ++row) {
        std::uint32_t columns = grid.occupied[row] >> firstColumn << firstColumn;
        for (; columns != 0; columns &= columns - 1) {
            const std::vector<WorkerIndex>& cell = grid.cells[row * levelCount + std::countr_zero(columns)];
            cells.push_back(&cell);
            total += cell.size();
        }
    }
    if (total == 0)
        return;
    const std::size_t start = random() % total;
    if (total <= count * Internal::triesPerWorker) {
        scanCells(cells, total, need, count, start, candidates);
        return;
    }
    for (std::size_t triesLeft = count * Internal::triesPerWorker; triesLeft > 0 && candidates.size() < count;
         --triesLeft) {
        const WorkerIndex worker = Internal::workerAt(cells, random() % total);
        if (need.fitsIn(entries_[worker].available) && !Internal::contains(candidates, worker))
            candidates.push_back(worker);
    }
    if (candidates.empty())
        scanCells(cells, total, need, count, start, candidates);
}

void FreeCapacityIndex::scanCells(std::span<const std::vector<WorkerIndex>* const> cells, std::size_t total,
    const Resources& need, std::size_t count, std::size_t start, std::vector<WorkerIndex>& candidates) const
{
    const std::size_t limit = std::min(total, Internal::maxScannedWorkers);
    for (std::size_t step = 0; step < limit && candidates.size() < count; ++step) {
        const WorkerIndex worker = Internal::workerAt(cells, (start + step) % total);
        if (need.fitsIn(entries_[worker].available))
            candidates.push_back(worker);
    }
}

} // namespace Placement
