// In-memory implementation of the platform's transactional tables and VM list.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace KingCupLadder::StandIn {

/// Tables with multi-row transactions that compare row versions.
class TableService
{
public:
    /// Executes the body of POST /v1/tx and returns the response body. Throws std::exception if the body is malformed.
    [[nodiscard]] nlohmann::json transact(const nlohmann::json &body);
    /// Returns the response body of GET /v1/rows.
    [[nodiscard]] nlohmann::json rows(const std::string &table, const std::string &prefix, const std::string &after, std::size_t limit) const;

private:
    using Key = std::pair<std::string, std::string>; ///< Table and key.
    struct Row {
        std::uint64_t version = 0; ///< 0 if the row is deleted. A deleted row is kept so that its versions are never reused.
        std::uint64_t lastVersion = 0; ///< Last assigned version; a delete does not reset it.
        std::string value;
    };
    [[nodiscard]] bool conditionHolds(const nlohmann::json &write) const;
    [[nodiscard]] nlohmann::json rowJson(const Key &key) const;
    void apply(const nlohmann::json &write, nlohmann::json &written);

    std::map<Key, Row> m_rows;
};

/// VM list whose updates become visible after a delay, as on the platform.
class VmList
{
public:
    explicit VmList(std::int64_t lagMs);
    void put(const nlohmann::json &list, std::int64_t nowMs);
    [[nodiscard]] nlohmann::json visible(std::int64_t nowMs);

private:
    std::int64_t m_lagMs;
    nlohmann::json m_visible = {{"vms", nlohmann::json::array()}};
    std::deque<std::pair<std::int64_t, nlohmann::json>> m_upcoming; ///< Updates that are not visible yet, with the time at which they become visible.
};

} // namespace KingCupLadder::StandIn
