#pragma once

#include "utils/result.h"

#include <platform.pb.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Platform {

/*!
    The platform's transactional table service.

    Calls block up to the time limit of the adapter. A commit whose answer was lost returns
    ErrorCode::OutcomeUnknown; find out by reading one of its rows and comparing Row::write_id.
*/
class TableService {
public:
    virtual ~TableService() = default;

    /*!
        Reads one row.
        \param key the row's key.
        \return the row; version 0 if it does not exist.
    */
    virtual Utils::Result<Schema::Row> get(std::string_view key) = 0;

    /*!
        Reads rows in the order of their keys.
        \param prefix rows whose key starts with it.
        \param after only keys greater than this one; empty for all.
        \param limit greatest number of rows.
        \return the rows and whether more follow.
    */
    virtual Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t limit)
        = 0;

    /*!
        Writes rows if all conditions hold, all or nothing.
        \param request conditions, puts and deletes; write_id must be unique.
        \return whether it was committed; ErrorCode::OutcomeUnknown if it may have been.
    */
    virtual Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) = 0;
};

/*!
    Commits and resolves a lost answer by reading the first row put.
    \param table the service.
    \param request a commit with at least one put.
    \return whether it was committed; an error only if the outcome is still unknown or nothing was done.
*/
Utils::Result<Schema::CommitReply> commitAndResolve(
    TableService& table, const Schema::CommitRequest& request);

} // namespace Platform
