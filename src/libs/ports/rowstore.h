#pragma once

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace Ports {

/*! Full name of a row. A transaction can only change rows of one partition. */
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
    std::string value; //!< Arbitrary bytes.
    std::uint64_t version = 0; //!< Increases with each change.
    bool isDeleted = false; //!< The row was removed; only set in pages from RowStore::follow().
};

/*! Condition on a row's version that a transaction depends on. */
struct RowCondition {
    RowKey name;
    std::uint64_t version = 0; //!< Required version; 0: the row must not exist.
};

/*! A new value of a row. */
struct RowPut {
    RowKey name;
    std::string value;
};

/*! Changes that are applied atomically if all conditions hold. */
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowKey> removals;
};

/*! Outcome of a transaction that the store committed or rejected. */
struct TransactionOutcome {
    bool isCommitted = false;
    std::uint64_t version = 0; //!< Version of the written rows, if committed.
    std::int64_t storeMs = 0; //!< The store's steady clock during the call; 0 if unknown.
    std::vector<Row> current; //!< Current rows that the conditions name, if a condition did not hold.
};

/*! Range of rows to read from one partition. */
struct RowRange {
    std::string table;
    std::string partition;
    std::string from; //!< First key of the range.
    std::string until; //!< Exclusive upper bound; empty: unbounded.
    std::size_t limit = 0; //!< Maximum number of rows; 0: as many as the store returns.
    bool isBulk = false; //!< May be large; the read goes on for as long as its rows arrive.
};

/*! Snapshot of rows, or changes in the order in which they were made. */
struct RowPage {
    std::vector<Row> rows;
    bool hasMore = false;
    std::uint64_t version = 0; //!< Latest version that the page covers.
    std::int64_t storeMs = 0; //!< The store's steady clock during the call; 0 if unknown.
};

/*!
    The platform's transactional row store.

    All calls are asynchronous: the handler runs later on the calling thread, never inside the call.

    Errors are Refused and Unavailable if nothing was done, OutcomeUnknown if a change may have been applied
    or may still be applied, and NotFound from follow() if the requested history is no longer kept.
*/
class RowStore {
public:
    using TransactionHandler = std::function<void(Utils::Result<TransactionOutcome>)>;
    using PageHandler = std::function<void(Utils::Result<RowPage>)>;

    virtual ~RowStore() = default;

    /*!
        Commits a transaction.
        \param transaction changes to rows of one partition.
        \param handler receives the outcome; InvalidArgument if the store will never accept the transaction.
    */
    virtual void commit(const Transaction& transaction, TransactionHandler handler) = 0;

    /*!
        Reads rows.
        \param range the rows to read.
        \param handler receives the rows in ascending order of their keys.
    */
    virtual void read(const RowRange& range, PageHandler handler) = 0;

    /*!
        Waits for changes of a table.
        \param table the table to watch.
        \param after only changes with a higher version are reported.
        \param wait how long to wait for the first change.
        \param handler receives the changes, or an empty page after \p wait.
    */
    virtual void follow(
        const std::string& table, std::uint64_t after, Utils::Duration wait, PageHandler handler)
        = 0;
};

} // namespace Ports
