// A platform with tables in memory and switches for its faults.
#pragma once

#include "core/messages.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder::Matrix {

class FakeStore
{
public:
    [[nodiscard]] StoreReply transact(const StoreTransact &transaction)
    {
        StoreReply reply;
        reply.op = transaction.op;
        for (const RowWrite &write : transaction.writes) {
            const Row current = find(write.table, write.key);
            const RowVersion required = write.kind == RowWrite::Kind::Insert ? RowVersion() : write.version;
            if (current.version != required) {
                reply.rows.push_back(current);
            }
        }
        if (!reply.rows.empty()) {
            reply.status = StoreStatus::Conflict;
            return reply;
        }
        for (const RowWrite &write : transaction.writes) {
            reply.rows.push_back(apply(write));
        }
        reply.status = StoreStatus::Ok;
        return reply;
    }

    [[nodiscard]] StoreReply scan(const StoreScan &scan) const
    {
        StoreReply reply{scan.op, StoreStatus::Ok, {}};
        for (const auto &[key, row] : m_rows) {
            if (key.first == scan.table && key.second.compare(0, scan.prefix.size(), scan.prefix) == 0) {
                reply.rows.push_back(row);
            }
        }
        return reply;
    }

    [[nodiscard]] StoreReply read(const StoreRead &read) const
    {
        StoreReply reply{read.op, StoreStatus::Ok, {}};
        for (const std::string &key : read.keys) {
            reply.rows.push_back(find(read.table, key));
        }
        return reply;
    }

    /// The row, with version 0 if it is absent.
    [[nodiscard]] Row find(const std::string &table, const std::string &key) const
    {
        const auto found = m_rows.find({table, key});
        return found == m_rows.end() ? Row{table, key, RowVersion(), ""} : found->second;
    }

private:
    Row apply(const RowWrite &write)
    {
        if (write.kind == RowWrite::Kind::Check) {
            return find(write.table, write.key);
        }
        if (write.kind == RowWrite::Kind::Delete) {
            m_rows.erase({write.table, write.key});
            return Row{write.table, write.key, RowVersion(), ""};
        }
        m_lastVersion = m_lastVersion.next();
        const Row row{write.table, write.key, m_lastVersion, write.value};
        m_rows[{write.table, write.key}] = row;
        return Row{row.table, row.key, row.version, ""};
    }

    std::map<std::pair<std::string, std::string>, Row> m_rows;
    RowVersion m_lastVersion; ///< Of any row, so that a version is never reused.
};

} // namespace KingCupLadder::Matrix
