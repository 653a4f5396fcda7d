// An in-memory store with the transaction semantics of section 5 of the design document: a transaction takes effect as a whole, and
// only if every row still has the expected version; otherwise the reply has the current rows. Tests that need lost replies or delayed
// writes simulate them where they call execute().
#pragma once

#include "core/messages.h"

#include <map>
#include <utility>

namespace KingCupLadder {

class FakeStore
{
public:
    StoreReply execute(const StoreTransaction &command)
    {
        StoreReply reply{command.op, StoreStatus::Ok, {}};
        for (const RowWrite &write : command.writes) {
            const Row current = row(write.table, write.key);
            const RowVersion requiredVersion = write.kind == RowWrite::Kind::Insert ? RowVersion() : write.version;
            if (current.version != requiredVersion) {
                reply.status = StoreStatus::Conflict;
                reply.rows.push_back(current);
            }
        }
        for (const RowWrite &write : command.writes) {
            if (reply.status == StoreStatus::Ok) {
                apply(write, reply);
            }
        }
        return reply;
    }

    StoreReply execute(const StoreScan &command) const
    {
        StoreReply reply{command.op, StoreStatus::Ok, {}};
        for (const auto &[rowKey, row] : m_rows) {
            if (rowKey.first == command.table && rowKey.second.rfind(command.prefix, 0) == 0) {
                reply.rows.push_back(row);
            }
        }
        return reply;
    }

    StoreReply execute(const StoreRead &command) const
    {
        StoreReply reply{command.op, StoreStatus::Ok, {}};
        for (const std::string &key : command.keys) {
            reply.rows.push_back(row(command.table, key));
        }
        return reply;
    }

    Row row(const std::string &table, const std::string &key) const
    {
        const auto found = m_rows.find({table, key});
        return found == m_rows.end() ? Row{table, key, {}, {}} : found->second;
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        m_version = m_version.next();
        m_rows[{table, key}] = Row{table, key, m_version, value};
    }

private:
    void apply(const RowWrite &write, StoreReply &reply)
    {
        if (write.kind == RowWrite::Kind::Delete) {
            m_rows.erase({write.table, write.key});
        } else if (write.kind != RowWrite::Kind::Check) {
            put(write.table, write.key, write.value);
            reply.rows.push_back(Row{write.table, write.key, m_version, {}});
        }
    }

    RowVersion m_version;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
};

} // namespace KingCupLadder
