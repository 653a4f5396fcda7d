// Transactions and reads with the semantics of section 5 of docs/design.md.
#include "memorystore.h"

namespace KingCupLadder {

Row MemoryStore::row(const std::string &table, const std::string &key) const
{
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() ? Row{table, key, {}, {}} : found->second;
}

void MemoryStore::apply(const RowWrite &write, StoreReply &reply)
{
    if (write.kind == RowWrite::Kind::Delete) {
        m_rows.erase({write.table, write.key});
    } else if (write.kind != RowWrite::Kind::Check) {
        m_version = m_version.next();
        m_rows[{write.table, write.key}] = Row{write.table, write.key, m_version, write.value};
        reply.rows.push_back(Row{write.table, write.key, m_version, {}});
    }
}

StoreReply MemoryStore::execute(const StoreTransaction &command)
{
    StoreReply reply{command.op, StoreStatus::Ok, {}};
    for (const RowWrite &write : command.writes) {
        const Row current = row(write.table, write.key);
        const RowVersion needed = write.kind == RowWrite::Kind::Insert ? RowVersion() : write.version;
        if (current.version != needed) {
            reply.status = StoreStatus::Conflict;
            reply.rows.push_back(current);
        }
    }
    if (reply.status == StoreStatus::Conflict) {
        return reply;
    }
    for (const RowWrite &write : command.writes) {
        apply(write, reply);
    }
    return reply;
}

StoreReply MemoryStore::execute(const StoreScan &command) const
{
    StoreReply reply{command.op, StoreStatus::Ok, {}};
    for (auto it = m_rows.lower_bound({command.table, command.prefix}); it != m_rows.end(); ++it) {
        if (it->first.first != command.table || it->first.second.compare(0, command.prefix.size(), command.prefix) != 0) {
            break;
        }
        reply.rows.push_back(it->second);
    }
    return reply;
}

StoreReply MemoryStore::execute(const StoreRead &command) const
{
    StoreReply reply{command.op, StoreStatus::Ok, {}};
    for (const std::string &key : command.keys) {
        reply.rows.push_back(row(command.table, key));
    }
    return reply;
}

} // namespace KingCupLadder
