// In-memory TableStore that checks conditions, keeps a history of writes and removals for feeds and can simulate failures.
#pragma once

#include "daemon/eventloop.h"
#include "node/tablestore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace KingCupLadder {

class MemoryTableStore : public TableStore
{
public:
    explicit MemoryTableStore(EventLoop &loop) : m_loop(loop) { }

    /// Outcomes of the next reads and feeds; Done means that the call succeeds.
    std::vector<StoreOutcome> readOutcomes;
    /// Outcomes of the next transactions. Unknown applies the transaction and loses its answer.
    std::vector<StoreOutcome> writeOutcomes;
    bool holdsAnswers = false; ///< Answers are kept until releaseAnswers() is called.
    int calls = 0;
    int maxRowsPerRead = 500;
    std::size_t maxTransactionEntries = 100; ///< Larger transactions are refused.
    std::size_t maxRowBytes = 65536; ///< Transactions with a longer value are refused.
    std::map<std::tuple<std::string, std::string, std::string>, TableRow> rows;

    void put(const RowKey &key, const std::string &value)
    {
        const std::tuple<std::string, std::string, std::string> id{key.table, key.partition, key.key};
        rows[id] = TableRow{key, value, RowVersion(++m_version), false};
        m_history.push_back(rows[id]);
    }

    /// Gives the answers that were held, in this call.
    void releaseAnswers()
    {
        for (const auto &answer : std::exchange(m_heldAnswers, {})) {
            answer();
        }
    }

    [[nodiscard]] bool has(const std::string &table, const std::string &key) const
    {
        for (const auto &[id, row] : rows) {
            if (std::get<0>(id) == table && std::get<2>(id) == key) {
                return true;
            }
        }
        return false;
    }

    void transact(const Transaction &transaction, Duration, Callback callback) override
    {
        const bool hasLongRow =
            std::any_of(transaction.writes.begin(), transaction.writes.end(), [this](const TableWrite &write) { return write.value.size() > maxRowBytes; });
        const bool isTooLarge = hasLongRow || transaction.conditions.size() + transaction.writes.size() + transaction.removals.size() > maxTransactionEntries;
        const StoreOutcome planned = isTooLarge ? StoreOutcome::NotApplied : nextOutcome(writeOutcomes);
        StoreAnswer answer;
        answer.outcome = planned;
        if (planned == StoreOutcome::Done || planned == StoreOutcome::Unknown) {
            const StoreAnswer result = apply(transaction);
            answer = planned == StoreOutcome::Done ? result : answer;
        }
        reply(std::move(answer), std::move(callback));
    }

    void read(const RangeRead &range, Duration, Callback callback) override
    {
        StoreAnswer answer;
        answer.outcome = nextOutcome(readOutcomes);
        answer.version = RowVersion(m_version);
        for (const auto &[id, row] : rows) {
            const auto &[table, partition, key] = id;
            const bool inRange = table == range.table && partition == range.partition && key >= range.from && (range.end.empty() || key < range.end);
            if (answer.outcome != StoreOutcome::Done || !inRange) {
                continue;
            }
            if (static_cast<int>(answer.rows.size()) == std::min(range.limit, maxRowsPerRead)) {
                answer.truncated = true;
                break;
            }
            answer.rows.push_back(row);
        }
        reply(std::move(answer), std::move(callback));
    }

    void feed(const FeedRead &feed, Duration, Callback callback) override
    {
        StoreAnswer answer;
        answer.outcome = nextOutcome(readOutcomes);
        answer.version = RowVersion(m_version);
        for (const TableRow &row : m_history) {
            if (answer.outcome == StoreOutcome::Done && row.key.table == feed.table && feed.after < row.version) {
                answer.rows.push_back(row);
            }
        }
        reply(std::move(answer), std::move(callback));
    }

private:
    StoreOutcome nextOutcome(std::vector<StoreOutcome> &plannedOutcomes)
    {
        ++calls;
        if (plannedOutcomes.empty()) {
            return StoreOutcome::Done;
        }
        const StoreOutcome outcome = plannedOutcomes.front();
        plannedOutcomes.erase(plannedOutcomes.begin());
        return outcome;
    }

    StoreAnswer apply(const Transaction &transaction)
    {
        StoreAnswer answer;
        answer.outcome = StoreOutcome::Done;
        for (const RowCondition &condition : transaction.conditions) {
            const auto found = rows.find({condition.key.table, condition.key.partition, condition.key.key});
            const TableRow current = found == rows.end() ? TableRow{condition.key, {}, {}, false} : found->second;
            if (current.version != condition.version) {
                answer.outcome = StoreOutcome::Conflict;
            }
            answer.rows.push_back(current);
        }
        if (answer.outcome == StoreOutcome::Conflict) {
            return answer;
        }
        answer.rows.clear();
        ++m_version;
        for (const TableWrite &write : transaction.writes) {
            const TableRow row{write.key, write.value, RowVersion(m_version), false};
            rows[{write.key.table, write.key.partition, write.key.key}] = row;
            m_history.push_back(row);
        }
        for (const RowKey &key : transaction.removals) {
            if (rows.erase({key.table, key.partition, key.key}) > 0) {
                m_history.push_back(TableRow{key, {}, RowVersion(m_version), true});
            }
        }
        answer.version = RowVersion(m_version);
        return answer;
    }

    void reply(StoreAnswer answer, Callback callback)
    {
        auto give = [answer = std::move(answer), callback = std::move(callback)] { callback(answer); };
        if (holdsAnswers) {
            m_heldAnswers.push_back(std::move(give));
        } else {
            m_loop.defer(std::move(give));
        }
    }

    EventLoop &m_loop;
    std::uint64_t m_version = 0;
    std::vector<TableRow> m_history;
    std::vector<std::function<void()>> m_heldAnswers;
};

} // namespace KingCupLadder
