// Reads the configuration once, then follows the store's feed.
#include "configwatcher.h"

#include "daemon/log.h"

#include <algorithm>

namespace KingCupLadder {

ConfigWatcher::ConfigWatcher(
    EventLoop &loop, TableStore &store, const PlatformCodec &translation, const ConfigWatcherSettings &settings, ChangeHandler onChange)
    : m_loop(loop), m_store(store), m_translation(translation), m_settings(settings), m_onChange(std::move(onChange))
{
    m_retry = EventWatch::timer(loop, [this] { m_seen == RowVersion() ? readAll() : follow(); });
}

void ConfigWatcher::start()
{
    readAll();
}

const std::shared_ptr<const CellConfig> &ConfigWatcher::config() const
{
    return m_config;
}

bool ConfigWatcher::isFresh(TimePoint now) const
{
    return m_config != nullptr && age(now) < m_settings.maxConfigAge;
}

Duration ConfigWatcher::age(TimePoint now) const
{
    return now - m_confirmed;
}

void ConfigWatcher::confirm(TimePoint sent)
{
    m_confirmed = std::max(m_confirmed, sent);
}

void ConfigWatcher::readAll()
{
    const TimePoint sent = m_loop.now();
    const std::string key = m_translation.configKey;
    m_store.read(RangeRead{m_translation.configTable, {}, key, key + '\x01', 1}, m_settings.timeout, [this, sent](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done || answer.rows.empty()) {
            retry();
            return;
        }
        onRow(answer.rows.front());
        m_seen = answer.version;
        confirm(sent);
        follow();
    });
}

void ConfigWatcher::follow()
{
    const TimePoint sent = m_loop.now();
    const FeedRead read{m_translation.configTable, m_seen, m_settings.feedWait};
    m_store.feed(read, m_settings.feedWait + m_settings.timeout, [this, sent](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::HistoryTruncated) {
            logLine(LogPart::Platform, LogLevel::Info, "the store forgot its history; reading the configuration as a whole");
            m_seen = RowVersion();
            readAll();
            return;
        }
        if (answer.outcome != StoreOutcome::Done) {
            retry();
            return;
        }
        for (const TableRow &row : answer.rows) {
            if (row.key.key == m_translation.configKey && !row.removed) {
                onRow(row);
            }
        }
        m_seen = std::max(m_seen, answer.version, [](RowVersion a, RowVersion b) { return a < b; });
        confirm(sent);
        // A pause after changes bounds the calls while other rows of the table change often.
        answer.rows.empty() ? follow() : retry();
    });
}

void ConfigWatcher::retry()
{
    m_retry->start(m_settings.retry);
}

void ConfigWatcher::onRow(const TableRow &row)
{
    auto decoded = m_translation.decodeConfig(row.value);
    if (!decoded) {
        logLine(LogPart::Platform, LogLevel::Error, "the configuration can't be read and stays as it was: " + decoded.reason().text());
        return;
    }
    if (m_config && decoded.value().version < m_config->version) {
        return;
    }
    auto config = std::make_shared<CellConfig>(std::move(decoded).value());
    config->index();
    logLine(LogPart::Platform,
            LogLevel::Info,
            "configuration " + std::to_string(config->version.value()) + " in force: " + std::to_string(config->routes.size()) + " routes, "
                + std::to_string(config->workspaces.size()) + " workspaces");
    m_config = config;
    m_onChange(m_config);
}

} // namespace KingCupLadder
