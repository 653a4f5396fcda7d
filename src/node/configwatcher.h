// Watches the rows that the operator writes: the configuration and the evacuations of failure domains. Tracks when they were last confirmed
// to be current.
#pragma once

#include "daemon/eventloop.h"
#include "platforminterfaces.h"
#include "tablestore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder {

struct ConfigWatcherSettings {
    Duration feedWait{900}; ///< How long the store may hold a feed request open while there are no changes.
    Duration timeout{1200}; ///< Of a read; a feed request may take this long in addition to feedWait.
    Duration readPause{120}; ///< Before the next read, after a failed read and after changes.
    Duration maxConfigAge{4200}; ///< A revoked API key must stop working within 5 s.
};

class ConfigWatcher
{
public:
    using ChangeHandler = std::function<void(const std::shared_ptr<const CellConfig> &)>;
    /// Receives the complete set of evacuated failure domains.
    using EvacuationHandler = std::function<void(const std::set<FailureDomain> &)>;

    /// @p onEvacuations is called before @p onChange for rows that were read together, and may be null.
    ConfigWatcher(EventLoop &loop,
                  TableStore &store,
                  const PlatformCodec &codec,
                  const ConfigWatcherSettings &settings,
                  ChangeHandler onChange,
                  EvacuationHandler onEvacuations = nullptr);

    void start();
    /// Null until the first configuration has been read.
    [[nodiscard]] const std::shared_ptr<const CellConfig> &config() const;
    /// Returns true if the configuration was confirmed recently enough to accept API keys.
    [[nodiscard]] bool isFresh(TimePoint now) const;
    /// Time since the last confirmation.
    [[nodiscard]] Duration age(TimePoint now) const;

private:
    /// A read of all rows in progress, page by page.
    struct FullRead {
        TimePoint sent;
        RowVersion version; ///< Of the first page: changes after it may be missing in the later ones.
        std::vector<TableRow> rows;
    };

    void readAll();
    void readPage(const std::shared_ptr<FullRead> &fullRead, const std::string &from);
    void finishFullRead(const FullRead &fullRead);
    void watchChanges();
    void scheduleNextRead();
    void applyRow(const TableRow &row);
    [[nodiscard]] bool isEvacuationRow(const RowKey &key) const;
    void applyEvacuationRow(const TableRow &row);
    /// Calls m_onEvacuations if the set has changed or was never reported.
    void reportEvacuations();
    /// Records that the configuration was current when the read at @p sent was sent.
    void recordConfirmation(TimePoint sent);

    /// The last known state of a row that evacuates a failure domain.
    struct KnownEvacuation {
        RowVersion version;
        FailureDomain domain; ///< Empty: the key names none.
    };

    EventLoop &m_loop;
    TableStore &m_store;
    const PlatformCodec &m_codec;
    ConfigWatcherSettings m_settings;
    ChangeHandler m_onChange;
    EvacuationHandler m_onEvacuations;
    std::shared_ptr<const CellConfig> m_config;
    std::map<std::string, KnownEvacuation> m_evacuations; ///< By key.
    std::optional<std::set<FailureDomain>> m_reportedEvacuations; ///< Empty: none was reported yet.
    std::set<std::string> m_loggedKeys; ///< Present rows whose key or value could not be read and was logged.
    RowVersion m_knownVersion; ///< Changes up to this store version are known; 0: nothing has been read.
    TimePoint m_lastConfirmed; ///< When the last successful read was sent.
    std::unique_ptr<EventWatch> m_nextReadTimer;
};

} // namespace KingCupLadder
