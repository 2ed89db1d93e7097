#pragma once

#include <platform.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Requests {

/*! A conditional write of one row that can share a commit with others. */
struct KeyWrite {
    std::string row;
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/*!
    Combines writes of several rows into one commit.

    A commit takes effect as a whole or not at all. Therefore a write whose condition does not hold is
    excluded, and the others are committed again. A batch never contains two writes of the same row.
*/
class KeyWriteBatch {
public:
    /*!
        Adds a write.
        \return its position; if the row is already in the batch, nothing is added and size() is returned.
    */
    std::size_t add(KeyWrite write);

    /*! \return the number of writes, including the excluded ones. */
    std::size_t size() const { return writes_.size(); }

    /*!
        \param writeId unique id of the commit.
        \return a commit of all writes that are not excluded; without puts if there are none.
    */
    Schema::CommitRequest commitRequest(std::string_view writeId) const;

    /*!
        Excludes the write that prevented a commit.
        \param row CommitReply::conflicting_key.
        \return the position of the write; size() if the row is not in the batch.
    */
    std::size_t exclude(std::string_view row);

    /*! \return true if the write at a position is not excluded. */
    bool isIncluded(std::size_t position) const { return !excluded_[position]; }

private:
    std::size_t find(std::string_view row) const;

    std::vector<KeyWrite> writes_;
    std::vector<bool> excluded_;
};

} // namespace Requests
