// Reads the operator's rows once, then watches the store's change feed.
#include "configwatcher.h"

#include "daemon/log.h"

#include <algorithm>

namespace KingCupLadder {

ConfigWatcher::ConfigWatcher(EventLoop &loop,
                             TableStore &store,
                             const PlatformCodec &codec,
                             const ConfigWatcherSettings &settings,
                             ChangeHandler onChange,
                             EvacuationHandler onEvacuations)
    : m_loop(loop), m_store(store), m_codec(codec), m_settings(settings), m_onChange(std::move(onChange)), m_onEvacuations(std::move(onEvacuations))
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
    auto fullRead = std::make_shared<FullRead>();
    fullRead->sent = m_loop.now();
    readPage(fullRead, m_codec.evacuationPrefix.empty() ? m_codec.configKey : std::min(m_codec.configKey, m_codec.evacuationPrefix));
}

void ConfigWatcher::readPage(const std::shared_ptr<FullRead> &fullRead, const std::string &from)
{
    // One range covers the configuration and all evacuations. It ends right after the last of their keys.
    std::string end = m_codec.configKey + '\x01';
    if (!m_codec.evacuationPrefix.empty()) {
        std::string afterPrefix = m_codec.evacuationPrefix;
        ++afterPrefix.back();
        end = std::max(end, afterPrefix);
    }
    m_store.read(RangeRead{m_codec.configTable, {}, from, end}, m_settings.timeout, [this, fullRead](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done) {
            scheduleNextRead(); // Starts with the first page again; the known rows are kept meanwhile.
            return;
        }
        fullRead->version = fullRead->version == RowVersion() ? answer.version : fullRead->version;
        fullRead->rows.insert(fullRead->rows.end(), answer.rows.begin(), answer.rows.end());
        if (answer.truncated && !answer.rows.empty()) {
            readPage(fullRead, answer.rows.back().key.key + '\0'); // Continues at the smallest key after the last one.
            return;
        }
        finishFullRead(*fullRead);
    });
}

void ConfigWatcher::finishFullRead(const FullRead &fullRead)
{
    m_evacuations.clear();
    for (const TableRow &row : fullRead.rows) {
        if (isEvacuationRow(row.key)) {
            applyEvacuationRow(row);
        }
    }
    for (auto key = m_loggedKeys.begin(); key != m_loggedKeys.end();) {
        key = m_evacuations.count(*key) == 0 ? m_loggedKeys.erase(key) : std::next(key);
    }
    reportEvacuations();
    const auto config = std::find_if(fullRead.rows.begin(), fullRead.rows.end(), [this](const TableRow &row) { return row.key.key == m_codec.configKey; });
    if (config == fullRead.rows.end()) {
        scheduleNextRead();
        return;
    }
    applyRow(*config);
    m_knownVersion = fullRead.version;
    recordConfirmation(fullRead.sent);
    watchChanges();
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
            if (isEvacuationRow(row.key)) {
                applyEvacuationRow(row);
            }
        }
        reportEvacuations();
        for (const TableRow &row : answer.rows) {
            if (row.key.key == m_codec.configKey && !row.removed) {
                applyRow(row);
            }
        }
        // A truncated answer lists the earliest changes.
        const bool isPartial = answer.truncated && !answer.rows.empty();
        const RowVersion known = isPartial ? answer.rows.back().version : answer.version;
        m_knownVersion = std::max(m_knownVersion, known, [](RowVersion a, RowVersion b) { return a < b; });
        if (!isPartial) {
            recordConfirmation(sent);
        }
        // The pause after changes limits the call rate while other rows of the table change often.
        answer.rows.empty() || isPartial ? watchChanges() : scheduleNextRead();
    });
}

bool ConfigWatcher::isEvacuationRow(const RowKey &key) const
{
    return !m_codec.evacuationPrefix.empty() && key.partition.empty() && key.key.rfind(m_codec.evacuationPrefix, 0) == 0;
}

void ConfigWatcher::applyEvacuationRow(const TableRow &row)
{
    const auto known = m_evacuations.find(row.key.key);
    if (known != m_evacuations.end() && row.version < known->second.version) {
        return; // A later page of a full read has already shown a newer state of the row.
    }
    if (row.removed) {
        m_evacuations.erase(row.key.key);
        m_loggedKeys.erase(row.key.key);
        return;
    }
    const auto decoded = m_codec.decodeEvacuation(row.key.key, row.value);
    m_evacuations[row.key.key] = KnownEvacuation{row.version, decoded ? decoded->domain : FailureDomain()};
    if ((!decoded || !decoded->isValueValid) && m_loggedKeys.insert(row.key.key).second) {
        logLine(LogComponent::Platform,
                LogLevel::Warning,
                !decoded ? "an evacuation row whose key names no failure domain is ignored"
                         : "the evacuation row of failure domain " + decoded->domain.value() + " has an unexpected value; the evacuation is in force");
    }
}

void ConfigWatcher::reportEvacuations()
{
    std::set<FailureDomain> domains;
    for (const auto &[key, evacuation] : m_evacuations) {
        if (!evacuation.domain.isEmpty()) {
            domains.insert(evacuation.domain);
        }
    }
    if (m_reportedEvacuations == domains) {
        return;
    }
    m_reportedEvacuations = domains;
    if (m_onEvacuations) {
        m_onEvacuations(domains);
    }
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
