#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Batch {

/*! \return key of the row that states the owner of a shard. */
std::string shardKey(std::string_view shard);

/*! \return key prefix of all shard rows. */
std::string_view shardPrefix();

/*! \return key prefix of a shard's journal segments. */
std::string journalPrefix(std::string_view shard);

/*! \return key of a journal segment; keys sort by segment number. */
std::string journalKey(std::string_view shard, std::uint64_t segment);

/*! \return key prefix of the submissions and cancellations that wait for a shard's owner. */
std::string inboxPrefix(std::string_view shard);

/*! \return key of a job's submission for a shard's owner. */
std::string inboxSubmitKey(std::string_view shard, std::string_view job);

/*! \return key of a job's cancellation for a shard's owner. */
std::string inboxCancelKey(std::string_view shard, std::string_view job);

/*! \return key of a job's row. */
std::string jobKey(std::string_view job);

/*! \return key prefix of the states of a job's parts. */
std::string jobStatePrefix(std::string_view job);

/*! \return key of the state of the part of a job that belongs to a shard. */
std::string jobStateKey(std::string_view job, std::string_view shard);

} // namespace Batch
