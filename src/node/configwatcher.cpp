// Reads the configuration once, then watches the store's change feed.
#include "configwatcher.h"

#include "daemon/log.h"

#include <algorithm>

namespace KingCupLadder {

ConfigWatcher::ConfigWatcher(EventLoop &loop, TableStore &store, const PlatformCodec &codec, const ConfigWatcherSettings &settings, ChangeHandler onChange)
    : m_loop(loop), m_store(store), m_codec(codec), m_settings(settings), m_onChange(std::move(onChange))
{
    m_nextReadTimer = EventWatch::timer(loop, [this] { m_knownVersion == RowVersion() ? readAll() : watchChanges(); });
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
    return now - m_lastConfirmed;
}

void ConfigWatcher::recordConfirmation(TimePoint sent)
{
    m_lastConfirmed = std::max(m_lastConfirmed, sent);
}

void ConfigWatcher::readAll()
{
    const TimePoint sent = m_loop.now();
    const std::string key = m_codec.configKey;
    // The end of the range is right after this key.
    m_store.read(RangeRead{m_codec.configTable, {}, key, key + '\x01', 1}, m_settings.timeout, [this, sent](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done || answer.rows.empty()) {
            scheduleNextRead();
            return;
        }
        applyRow(answer.rows.front());
        m_knownVersion = answer.version;
        recordConfirmation(sent);
        watchChanges();
    });
}

void ConfigWatcher::watchChanges()
{
    const TimePoint sent = m_loop.now();
    const FeedRead read{m_codec.configTable, m_knownVersion, m_settings.feedWait};
    m_store.feed(read, m_settings.feedWait + m_settings.timeout, [this, sent](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::HistoryTruncated) {
            logLine(LogComponent::Platform, LogLevel::Info, "the store no longer keeps the required change history; reading the whole configuration again");
            m_knownVersion = RowVersion();
            readAll();
            return;
        }
        if (answer.outcome != StoreOutcome::Done) {
            scheduleNextRead();
            return;
        }
        for (const TableRow &row : answer.rows) {
            if (row.key.key == m_codec.configKey && !row.removed) {
                applyRow(row);
            }
        }
        m_knownVersion = std::max(m_knownVersion, answer.version, [](RowVersion a, RowVersion b) { return a < b; });
        recordConfirmation(sent);
        // The pause after changes limits the call rate while other rows of the table change often.
        answer.rows.empty() ? watchChanges() : scheduleNextRead();
    });
}

void ConfigWatcher::scheduleNextRead()
{
    m_nextReadTimer->start(m_settings.readPause);
}

void ConfigWatcher::applyRow(const TableRow &row)
{
    auto decoded = m_codec.decodeConfig(row.value);
    if (!decoded) {
        logLine(LogComponent::Platform, LogLevel::Error, "the new configuration can't be decoded, keeping the current one: " + decoded.reason().text());
        return;
    }
    if (m_config && decoded.value().version < m_config->version) {
        return;
    }
    auto config = std::make_shared<CellConfig>(std::move(decoded).value());
    config->buildIndexes();
    logLine(LogComponent::Platform,
            LogLevel::Info,
            "configuration " + std::to_string(config->version.value()) + " in force: " + std::to_string(config->routes.size()) + " routes, "
                + std::to_string(config->workspaces.size()) + " workspaces");
    m_config = config;
    m_onChange(m_config);
}

} // namespace KingCupLadder
