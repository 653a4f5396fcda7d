// A store in memory with compare-and-set, as the platform's table service behaves.
#pragma once

#include "core/messages.h"

#include <map>
#include <string>
#include <utility>

class FakeStore
{
public:
    KingCupLadder::StoreReply apply(const KingCupLadder::StoreTransact &transact)
    {
        using namespace KingCupLadder;
        StoreReply reply{transact.op, StoreStatus::Ok, {}};
        for (const RowWrite &write : transact.writes) {
            const Row current = row(write.table, write.key);
            const RowVersion wanted = write.kind == RowWrite::Kind::Insert ? RowVersion() : write.version;
            if (current.version != wanted) {
                reply.status = StoreStatus::Conflict;
                reply.rows.push_back(current);
            }
        }
        for (const RowWrite &write : transact.writes) {
            if (reply.status == StoreStatus::Ok && write.kind != RowWrite::Kind::Check) {
                put(write.table, write.key, write.value);
                reply.rows.push_back(Row{write.table, write.key, row(write.table, write.key).version, {}});
            }
        }
        return reply;
    }

    KingCupLadder::StoreReply apply(const KingCupLadder::StoreScan &scan) const
    {
        KingCupLadder::StoreReply reply{scan.op, KingCupLadder::StoreStatus::Ok, {}};
        for (const auto &[place, row] : m_rows) {
            if (place.first == scan.table && place.second.rfind(scan.prefix, 0) == 0) {
                reply.rows.push_back(row);
            }
        }
        return reply;
    }

    KingCupLadder::StoreReply apply(const KingCupLadder::StoreRead &read) const
    {
        KingCupLadder::StoreReply reply{read.op, KingCupLadder::StoreStatus::Ok, {}};
        for (const std::string &key : read.keys) {
            reply.rows.push_back(row(read.table, key));
        }
        return reply;
    }

    KingCupLadder::Row row(const std::string &table, const std::string &key) const
    {
        const auto found = m_rows.find({table, key});
        return found == m_rows.end() ? KingCupLadder::Row{table, key, KingCupLadder::RowVersion(), {}} : found->second;
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        m_rows[{table, key}] = KingCupLadder::Row{table, key, row(table, key).version.next(), value};
    }

private:
    std::map<std::pair<std::string, std::string>, KingCupLadder::Row> m_rows;
};
