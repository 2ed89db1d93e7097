#include "keywritebatch.h"

#include <algorithm>

namespace Requests {

std::size_t KeyWriteBatch::add(KeyWrite write)
{
    if (find(write.row) != writes_.size())
        return writes_.size();
    writes_.push_back(std::move(write));
    excluded_.push_back(false);
    return writes_.size() - 1;
}

Schema::CommitRequest KeyWriteBatch::commitRequest(std::string_view writeId) const
{
    Schema::CommitRequest request;
    request.set_write_id(std::string(writeId));
    for (std::size_t position = 0; position < writes_.size(); ++position) {
        if (excluded_[position])
            continue;
        const KeyWrite& write = writes_[position];
        Schema::RowCondition* condition = request.add_conditions();
        condition->set_key(write.row);
        condition->set_version(write.expectedVersion);
        Schema::RowPut* put = request.add_puts();
        put->set_key(write.row);
        put->set_value(write.value);
    }
    return request;
}

std::size_t KeyWriteBatch::exclude(std::string_view row)
{
    const std::size_t position = find(row);
    if (position != writes_.size())
        excluded_[position] = true;
    return position;
}

std::size_t KeyWriteBatch::find(std::string_view row) const
{
    const auto found = std::ranges::find(writes_, row, &KeyWrite::row);
    return static_cast<std::size_t>(found - writes_.begin());
}

} // namespace Requests
