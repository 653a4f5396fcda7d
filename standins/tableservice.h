// The platform's transactional tables, object store and VM list, in memory.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace KingCupLadder::StandIn {

class TableService
{
public:
    /// Body of POST /v1/tx in, body of its answer out. Throws std::exception if the body is malformed.
    [[nodiscard]] nlohmann::json transact(const nlohmann::json &body);
    /// Answer of GET /v1/rows.
    [[nodiscard]] nlohmann::json rows(const std::string &table, const std::string &prefix, const std::string &after, std::size_t limit) const;

private:
    using Key = std::pair<std::string, std::string>; ///< Table and key.
    struct Row {
        std::uint64_t version = 0; ///< 0: deleted. Kept, so that a version is never reused.
        std::uint64_t lastVersion = 0;
        std::string value;
    };
    [[nodiscard]] bool conditionHolds(const nlohmann::json &write) const;
    [[nodiscard]] nlohmann::json rowJson(const Key &key) const;
    void apply(const nlohmann::json &write, nlohmann::json &written);

    std::map<Key, Row> m_rows;
};

/// The VM list, shown with a lag.
class VmList
{
public:
    explicit VmList(std::int64_t lagMs);
    void put(const nlohmann::json &list, std::int64_t nowMs);
    [[nodiscard]] nlohmann::json visible(std::int64_t nowMs);

private:
    std::int64_t m_lagMs;
    nlohmann::json m_visible = {{"vms", nlohmann::json::array()}};
    std::deque<std::pair<std::int64_t, nlohmann::json>> m_upcoming; ///< With the time from which each is shown.
};

} // namespace KingCupLadder::StandIn
