// Conditional transactions, range reads and the delayed VM list.
#include "tableservice.h"

#include <algorithm>
#include <stdexcept>

namespace KingCupLadder::StandIn {

namespace {

std::pair<std::string, std::string> keyOf(const nlohmann::json &write)
{
    return {write.at("table").get<std::string>(), write.at("key").get<std::string>()};
}

} // namespace

bool TableService::conditionHolds(const nlohmann::json &write) const
{
    const auto found = m_rows.find(keyOf(write));
    const std::uint64_t current = found == m_rows.end() ? 0 : found->second.version;
    const bool insert = write.at("kind") == "insert";
    return current == (insert ? 0 : write.at("version").get<std::uint64_t>());
}

nlohmann::json TableService::rowJson(const Key &key) const
{
    const auto found = m_rows.find(key);
    const Row row = found == m_rows.end() ? Row{} : found->second;
    return {{"table", key.first}, {"key", key.second}, {"version", row.version}, {"value", row.version == 0 ? "" : row.value}};
}

void TableService::apply(const nlohmann::json &write, nlohmann::json &written)
{
    const std::string kind = write.at("kind");
    const Key key = keyOf(write);
    if (kind == "check") {
        return;
    }
    Row &row = m_rows[key];
    if (kind == "delete") {
        row.version = 0;
        row.value.clear();
        return;
    }
    row.version = ++row.lastVersion;
    row.value = write.at("value").get<std::string>();
    written.push_back({{"table", key.first}, {"key", key.second}, {"version", row.version}});
}

nlohmann::json TableService::transact(const nlohmann::json &body)
{
    nlohmann::json failed = nlohmann::json::array();
    for (const nlohmann::json &write : body.at("writes")) {
        const std::string kind = write.at("kind");
        const bool writes = kind == "insert" || kind == "update";
        if (!(writes || kind == "delete" || kind == "check")) {
            throw std::invalid_argument("unknown write kind " + kind);
        }
        if (writes) {
            // Throws if the value is malformed, before any write is applied.
            (void)write.at("value").get<std::string>();
        }
        if (!conditionHolds(write)) {
            failed.push_back(rowJson(keyOf(write)));
        }
    }
    if (!failed.empty()) {
        return {{"ok", false}, {"rows", failed}};
    }
    nlohmann::json written = nlohmann::json::array();
    for (const nlohmann::json &write : body.at("writes")) {
        apply(write, written);
    }
    return {{"ok", true}, {"rows", written}};
}

nlohmann::json TableService::rows(const std::string &table, const std::string &prefix, const std::string &after, std::size_t limit) const
{
    nlohmann::json found = nlohmann::json::array();
    auto row = after.empty() ? m_rows.lower_bound({table, prefix}) : m_rows.upper_bound({table, std::max(after, prefix)});
    bool more = false;
    for (; row != m_rows.end() && row->first.first == table && row->first.second.compare(0, prefix.size(), prefix) == 0; ++row) {
        if (row->second.version == 0) {
            continue;
        }
        if (found.size() == limit) {
            more = true;
            break;
        }
        found.push_back(rowJson(row->first));
    }
    return {{"rows", found}, {"more", more}};
}

VmList::VmList(std::int64_t lagMs) : m_lagMs(lagMs) { }

void VmList::put(const nlohmann::json &list, std::int64_t nowMs)
{
    // Throws if the list is malformed, so that it never becomes visible.
    (void)list.at("vms").size();
    m_upcoming.emplace_back(nowMs + m_lagMs, list);
}

nlohmann::json VmList::visible(std::int64_t nowMs)
{
    while (!m_upcoming.empty() && m_upcoming.front().first <= nowMs) {
        m_visible = m_upcoming.front().second;
        m_upcoming.pop_front();
    }
    return m_visible;
}

} // namespace KingCupLadder::StandIn
