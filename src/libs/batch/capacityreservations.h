#pragma once

#include <batch.pb.h>

#include <map>
#include <string>
#include <string_view>

namespace Batch {

/*!
    Capacity that attempts hold at the workers of a shard.

    A worker is never committed beyond its capacity by hold(); occupy() takes note of what runs there anyway.
*/
class CapacityReservations {
public:
    /*! Sets a worker's capacity. \param worker the worker. \param capacity all it has. */
    void setCapacity(std::string_view worker, const Schema::TaskSize& capacity);

    /*! \return whether a size fits now. \param worker the worker. \param size the size. */
    bool fits(std::string_view worker, const Schema::TaskSize& size) const;

    /*! Takes capacity if it fits. \return whether it did. \param worker the worker. \param size the size. */
    bool tryReserve(std::string_view worker, const Schema::TaskSize& size);

    /*! Takes capacity of an attempt found running. \param worker the worker. \param size its size. */
    void reserve(std::string_view worker, const Schema::TaskSize& size);

    /*! Gives capacity back. \param worker the worker. \param size the size held. */
    void release(std::string_view worker, const Schema::TaskSize& size);

    /*! \return free capacity, never negative. \param worker the worker. */
    Schema::TaskSize freeCapacity(std::string_view worker) const;

    /*! \return whether a size would fit the empty worker. \param worker the worker. \param size the size. */
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

/*! \return whether a size fits into a freeCapacity. \param freeCapacity what is free. \param size what is
 * asked. */
bool sizeFits(const Schema::TaskSize& freeCapacity, const Schema::TaskSize& size);

/*! Takes a size out of a freeCapacity that it fits. \param freeCapacity what is free. \param size what is
 * taken. */
void subtractSize(Schema::TaskSize& freeCapacity, const Schema::TaskSize& size);

} // namespace Batch
