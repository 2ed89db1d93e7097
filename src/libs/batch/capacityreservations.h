#pragma once

#include <batch.pb.h>

#include <map>
#include <string>
#include <string_view>

namespace Batch {

/*!
    Tracks the capacity that attempts reserve on the workers of a shard.

    tryReserve() never reserves more than a worker's capacity. reserve() may, because it records attempts
    that are already running.
*/
class CapacityReservations {
public:
    /*! Sets the total capacity of a worker. Existing reservations are kept. */
    void setCapacity(std::string_view worker, const Schema::TaskSize& capacity);

    /*! \return whether a task of this size fits the free capacity; false for an unknown worker. */
    bool fits(std::string_view worker, const Schema::TaskSize& size) const;

    /*! Reserves capacity if the size fits. \return false if it does not fit and nothing was reserved. */
    bool tryReserve(std::string_view worker, const Schema::TaskSize& size);

    /*! Reserves capacity for an attempt that is already running, even beyond the worker's capacity. */
    void reserve(std::string_view worker, const Schema::TaskSize& size);

    /*! Releases a reservation. \param size the size that was reserved. */
    void release(std::string_view worker, const Schema::TaskSize& size);

    /*! \return the free capacity, never negative; zero for an unknown worker. */
    Schema::TaskSize freeCapacity(std::string_view worker) const;

    /*! \return whether a task of this size would fit the worker if nothing ran there. */
    bool fitsEmptyWorker(std::string_view worker, const Schema::TaskSize& size) const;

private:
    struct Entry {
        Schema::TaskSize capacity;
        double processors = 0;
        double memoryMb = 0;
        std::int64_t accelerators = 0;
    };

    std::map<std::string, Entry, std::less<>> entries_;
};

/*! \return whether a task of this size fits the free capacity, allowing for rounding of sums. */
bool sizeFits(const Schema::TaskSize& freeCapacity, const Schema::TaskSize& size);

/*! Subtracts a size that fits from the free capacity. */
void subtractSize(Schema::TaskSize& freeCapacity, const Schema::TaskSize& size);

} // namespace Batch
