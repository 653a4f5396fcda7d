// Interface to the platform's transactional table service: versioned rows addressed by table, partition and key.
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>
#include <vector>

namespace KingCupLadder {

struct RowKey {
    std::string table;
    std::string partition; ///< All rows of one transaction belong to the same partition.
    std::string key;

    friend bool operator==(const RowKey &a, const RowKey &b)
    {
        return a.table == b.table && a.partition == b.partition && a.key == b.key;
    }
};

struct TableRow {
    RowKey key;
    std::string value; ///< Uninterpreted bytes.
    RowVersion version; ///< 0: the row does not exist.
    bool removed = false; ///< Set only in change feeds.
};

struct RowCondition {
    RowKey key;
    RowVersion version; ///< Version that the row must have; 0: the row must not exist.
};

struct TableWrite {
    RowKey key;
    std::string value;
};

/// A set of writes that is applied atomically.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<TableWrite> writes;
    std::vector<RowKey> removals;
};

struct RangeRead {
    std::string table;
    std::string partition;
    std::string from; ///< First key of the range, inclusive.
    std::string end; ///< End of the range, exclusive; empty: unbounded.
    int limit = 500; ///< Maximum number of rows in the answer; StoreAnswer::truncated tells whether there are more.
};

struct FeedRead {
    std::string table;
    RowVersion after;
    Duration wait{0}; ///< How long the store may hold the request open until there is a change.
};

enum class StoreOutcome {
    Done,
    Conflict, ///< A condition does not hold; the answer contains the current rows.
    NotApplied, ///< The call certainly had no effect.
    Unknown, ///< The call may have been applied, or may still be applied later if its conditions hold then.
    HistoryTruncated, ///< Feeds only: the store no longer keeps the changes after the requested version.
};

struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<TableRow> rows;
    RowVersion version; ///< Newest version of the store at the time of the answer.
    bool truncated = false;
};

class TableStore
{
public:
    using Callback = std::function<void(const StoreAnswer &)>;

    TableStore() = default;
    virtual ~TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;

    // Each callback runs exactly once, after the call has returned.

    virtual void transact(const Transaction &transaction, Duration timeout, Callback callback) = 0;
    virtual void read(const RangeRead &range, Duration timeout, Callback callback) = 0;
    /// Reads the changes of a table after a version.
    virtual void feed(const FeedRead &feed, Duration timeout, Callback callback) = 0;
};

} // namespace KingCupLadder
