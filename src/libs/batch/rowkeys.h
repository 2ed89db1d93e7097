#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Batch {

/*! \return key of the row that says who owns a shard. \param shard the shard. */
std::string shardKey(std::string_view shard);

/*! Prefix of all shard rows. */
std::string_view shardPrefix();

/*! \return prefix of a shard's journal segments. \param shard the shard. */
std::string journalPrefix(std::string_view shard);

/*! \return key of a journal segment; keys sort by number. \param shard the shard. \param segment its number.
 */
std::string journalKey(std::string_view shard, std::uint64_t segment);

/*! \return prefix of what waits for a shard's owner. \param shard the shard. */
std::string inboxPrefix(std::string_view shard);

/*! \return key of a submission for a shard's owner. \param shard the shard. \param job the job's id. */
std::string inboxSubmitKey(std::string_view shard, std::string_view job);

/*! \return key of a cancellation for a shard's owner. \param shard the shard. \param job the job's id. */
std::string inboxCancelKey(std::string_view shard, std::string_view job);

/*! \return key of a job's row. \param job the job's id. */
std::string jobKey(std::string_view job);

/*! \return prefix of the states of a job's parts. \param job the job's id. */
std::string jobStatePrefix(std::string_view job);

/*! \return key of the state of a job's part. \param job the job's id. \param shard the part's shard. */
std::string jobStateKey(std::string_view job, std::string_view shard);

} // namespace Batch
