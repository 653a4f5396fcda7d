// The platform's transactional table service as the node uses it: versioned rows in tables, parts and keys.
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>
#include <vector>

namespace KingCupLadder {

struct RowKey {
    std::string table;
    std::string part; ///< All rows of one transaction are in the same part.
    std::string key;

    friend bool operator==(const RowKey &a, const RowKey &b)
    {
        return a.table == b.table && a.part == b.part && a.key == b.key;
    }
};

struct TableRow {
    RowKey key;
    std::string value; ///< Bytes.
    RowVersion version; ///< 0: the row does not exist.
    bool removed = false; ///< Only in feeds.
};

struct RowCondition {
    RowKey key;
    RowVersion version; ///< That the row must have; 0: it must not exist.
};

struct TableWrite {
    RowKey key;
    std::string value;
};

/// Applied as a whole or not at all.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<TableWrite> writes;
    std::vector<RowKey> removals;
};

struct RangeRead {
    std::string table;
    std::string part;
    std::string from; ///< First key.
    std::string end; ///< First key that is not read; empty: none.
    int limit = 500;
};

struct FeedRead {
    std::string table;
    RowVersion after;
    Duration wait{0}; ///< The answer may wait so long for a change.
};

enum class StoreOutcome {
    Done,
    Conflict, ///< A condition does not hold; the answer has the current rows.
    NotApplied, ///< Certainly nothing was done.
    Unknown, ///< It may have been done, or may be done later if its conditions still hold.
    HistoryTruncated, ///< Feeds only: the changes after that version are not kept any more.
};

struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<TableRow> rows;
    RowVersion version; ///< The newest of the store at the answer.
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

    /// Each callback comes exactly once, after the call has returned.
    virtual void transact(const Transaction &transaction, Duration timeout, Callback callback) = 0;
    virtual void read(const RangeRead &range, Duration timeout, Callback callback) = 0;
    virtual void feed(const FeedRead &feed, Duration timeout, Callback callback) = 0;
};

} // namespace KingCupLadder
