#pragma once

#include "utils/result.h"

#include <platform.pb.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Platform {

/*!
    The platform's transactional table service.

    Calls block until they finish or the adapter's timeout expires. A commit whose reply was lost returns
    ErrorCode::OutcomeUnknown; to determine the outcome, read one of its rows and compare Row::write_id.
*/
class TableService {
public:
    virtual ~TableService() = default;

    /*! Reads one row. \return the row, with version 0 if it does not exist. */
    virtual Utils::Result<Schema::Row> get(std::string_view key) = 0;

    /*!
        Reads the rows whose key starts with \p prefix, in ascending order of their keys.
        \param after only keys greater than this one are returned; empty for all.
        \param limit maximum number of rows.
        \return the rows and whether more rows follow.
    */
    virtual Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t limit)
        = 0;

    /*!
        Applies all changes atomically if all conditions hold.
        \param request conditions, puts and deletes; write_id must be unique.
        \return whether the changes were committed; ErrorCode::OutcomeUnknown if they may have been.
    */
    virtual Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) = 0;
};

/*!
    Commits a request; if the reply is lost, determines the outcome by reading the first written row.
    \param request must contain at least one put.
    \return whether the changes were committed; an error if nothing was done or the outcome stays unknown.
*/
Utils::Result<Schema::CommitReply> commitAndResolve(
    TableService& table, const Schema::CommitRequest& request);

} // namespace Platform
