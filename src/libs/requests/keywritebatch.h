#pragma once

#include <platform.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Requests {

/*! One conditional write of one row, to share a commit with others. */
struct KeyWrite {
    std::string row;
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/*!
    Writes of several rows in one commit.

    A commit takes effect as a whole or not at all, so a write whose condition does not hold is taken out and
   the others are committed again. Two writes of the same row never share a commit.
*/
class KeyWriteBatch {
public:
    /*!
        Adds a write.
        \param write the write.
        \return its position; nothing is added and size() is returned if the row is in the batch.
    */
    std::size_t add(KeyWrite write);

    /*! \return number of writes, those taken out included. */
    std::size_t size() const { return writes_.size(); }

    /*!
        The commit of all writes that were not taken out.
        \param writeId unique id.
        \return the commit; without puts if none is left.
    */
    Schema::CommitRequest commitRequest(std::string_view writeId) const;

    /*!
        Takes out the write that prevented a commit.
        \param row from CommitReply::conflicting_key.
        \return position of the write; size() if the row is not in the batch.
    */
    std::size_t exclude(std::string_view row);

    /*! \return true if the write at a position was not taken out. */
    bool isIncluded(std::size_t position) const { return !excluded_[position]; }

private:
    std::size_t find(std::string_view row) const;

    std::vector<KeyWrite> writes_;
    std::vector<bool> excluded_;
};

} // namespace Requests
