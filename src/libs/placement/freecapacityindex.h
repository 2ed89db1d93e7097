#pragma once

#include "taskrequest.h"

#include <array>
#include <random>
#include <span>
#include <vector>

namespace Placement {

/*!
    Finds workers with enough left without looking at all of them.

    Workers are kept in cells by the logarithms of their free processors and free memory. Workers in cells
    above those of a request surely fit; those in the same row or column are checked. Candidates are drawn
    at random, so the cost of a search depends on the number of candidates, not on the number of workers.
*/
class FreeCapacityIndex {
public:
    /*!
        Adds a worker or moves it after a change.
        \param worker the worker.
        \param available what may still be committed to it.
    */
    void update(WorkerIndex worker, const Resources& available);

    /*!
        Takes a worker out; it is not offered until the next update().
        \param worker the worker; may be unknown.
    */
    void remove(WorkerIndex worker);

    /*!
        Draws different workers that fit a request. Workers with accelerators are offered to requests
        without any only if no other worker fits.
        \param need what must be free.
        \param count the greatest number of workers to draw.
        \param random the random source.
        \param[out] drawn the workers; empty if none was found within the search limit.
    */
    void sampleFitting(const Resources& need, std::size_t count, std::mt19937_64& random,
        std::vector<WorkerIndex>& candidates) const;

    /*!
        Draws different workers whatever they have left.
        \param count the greatest number of workers to draw with accelerators, and without.
        \param random the random source.
        \param[out] drawn the workers.
    */
    void sampleAny(std::size_t count, std::mt19937_64& random, std::vector<WorkerIndex>& candidates) const;

private:
    static constexpr int levelCount = 32;
    static constexpr std::size_t cellCount = 1024;

    struct Entry {
        Resources available;
        std::uint32_t position = 0;
        std::int32_t cell = -1;
    };

    struct Grid {
        std::array<std::vector<WorkerIndex>, cellCount> cells;
        std::array<std::uint32_t, levelCount> occupied {}; //!< Bit per memory level, by processors level.
    };

    static int level(std::int64_t amount, std::int64_t unit);
    void sampleGrid(const Grid& grid, const Resources& need, std::size_t count, std::mt19937_64& random,
        std::vector<WorkerIndex>& candidates) const;
    void scanCells(std::span<const std::vector<WorkerIndex>* const> cells, std::size_t total,
        const Resources& need, std::size_t count, std::size_t start,
        std::vector<WorkerIndex>& candidates) const;

    std::vector<Entry> entries_;
    Grid plainGrid_;
    Grid acceleratorGrid_;
};

} // namespace Placement
