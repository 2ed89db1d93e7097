#pragma once

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace Ports {

/*! Name of a row. Rows of one partition are changed together in a transaction. */
struct RowKey {
    std::string table;
    std::string partition; //!< May be empty.
    std::string key;

    friend bool operator==(const RowKey&, const RowKey&) = default;
    friend bool operator<(const RowKey& left, const RowKey& right)
    {
        return std::tie(left.table, left.partition, left.key)
            < std::tie(right.table, right.partition, right.key);
    }
};

/*! A row as the store holds it. */
struct Row {
    RowKey name;
    std::string value; //!< Any bytes.
    std::uint64_t version = 0; //!< Raised with each change.
    bool isDeleted = false; //!< Only in changes: the row was removed.
};

/*! A condition of a transaction. */
struct RowCondition {
    RowKey name;
    std::uint64_t version = 0; //!< Version that the row must have; 0: it must not exist.
};

/*! A new value of a row. */
struct RowPut {
    RowKey name;
    std::string value;
};

/*! Changes that take effect together or not at all. */
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowKey> removals;
};

/*! Outcome of a transaction that the store decided on. */
struct TransactionOutcome {
    bool isCommitted = false;
    std::uint64_t version = 0; //!< Version of the rows written, if committed.
    std::vector<Row> current; //!< Rows of the conditions, if a condition did not hold.
};

/*! Which rows to read. */
struct RowRange {
    std::string table;
    std::string partition;
    std::string from; //!< First key.
    std::string until; //!< Key after the last one; empty: no bound.
    std::size_t limit = 0; //!< Greatest number of rows; 0: as many as the store returns.
};

/*! Rows of one moment, or changes in their order. */
struct RowPage {
    std::vector<Row> rows;
    bool hasMore = false;
    std::uint64_t version = 0; //!< Newest version that the page covers.
};

/*!
    The platform's table of rows; asynchronous, handlers run on the caller's thread and never inside the call.

    Errors: Refused and Unavailable if nothing was done, OutcomeUnknown if a change may have been or may still
   be carried out, NotFound from follow() if the history asked for was dropped.
*/
class RowStore {
public:
    using TransactionHandler = std::function<void(Utils::Result<TransactionOutcome>)>;
    using PageHandler = std::function<void(Utils::Result<RowPage>)>;

    virtual ~RowStore() = default;

    /*!
        Carries out a transaction.
        \param transaction rows of one partition.
        \param handler receives the outcome.
    */
    virtual void commit(const Transaction& transaction, TransactionHandler handler) = 0;

    /*!
        Reads rows.
        \param range which rows.
        \param handler receives the rows by ascending key.
    */
    virtual void read(const RowRange& range, PageHandler handler) = 0;

    /*!
        Waits for changes of a table.
        \param table the table.
        \param after the version from which on changes are wanted.
        \param wait how long to wait for the first change.
        \param handler receives the changes; none if the time passed.
    */
    virtual void follow(
        const std::string& table, std::uint64_t after, Utils::Duration wait, PageHandler handler)
        = 0;
};

} // namespace Ports
