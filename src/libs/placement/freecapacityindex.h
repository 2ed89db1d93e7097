#pragma once

#include "taskrequest.h"

#include <array>
#include <random>
#include <span>
#include <vector>

namespace Placement {

/*!
    Finds workers with enough free capacity without looking at all of them.

    Workers are kept in a grid of cells by the logarithms of their free processors and free memory. Workers in
    cells above the cell of a request always fit; those in the same row or column are checked. Candidates are
    sampled at random, so the cost of a search depends on the number of candidates, not on the number of
    workers.
*/
class FreeCapacityIndex {
public:
    /*! Adds a worker, or updates it after \a available has changed. */
    void update(WorkerIndex worker, const Resources& available);

    /*! Removes a worker until the next update(); unknown workers are ignored. */
    void remove(WorkerIndex worker);

    /*!
        Samples distinct workers that fit a request. Workers with accelerators are offered to requests that
        need none only if no other worker fits.
        \param need the capacity that must be free.
        \param count maximum number of workers to sample.
        \param[out] candidates the workers; empty if none was found within the search limit.
    */
    void sampleFitting(const Resources& need, std::size_t count, std::mt19937_64& random,
        std::vector<WorkerIndex>& candidates) const;

    /*!
        Samples distinct workers regardless of their free capacity.
        \param count maximum number of workers to sample, separately for workers with and without
               accelerators.
        \param[out] candidates the workers.
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
        std::array<std::uint32_t, levelCount> occupied {}; //!< Bit mask of memory levels, by processor level.
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
