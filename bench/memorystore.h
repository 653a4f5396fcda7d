// In-memory store that executes the store operations of daemons immediately and never fails.
#pragma once

#include "core/messages.h"

#include <map>
#include <string>
#include <utility>

namespace KingCupLadder {

class MemoryStore
{
public:
    [[nodiscard]] StoreReply execute(const StoreTransaction &command);
    [[nodiscard]] StoreReply execute(const StoreScan &command) const;
    [[nodiscard]] StoreReply execute(const StoreRead &command) const;

private:
    [[nodiscard]] Row row(const std::string &table, const std::string &key) const;
    void apply(const RowWrite &write, StoreReply &reply);

    std::map<std::pair<std::string, std::string>, Row> m_rows;
    RowVersion m_version; ///< Last assigned version; versions are never reused.
};

} // namespace KingCupLadder
