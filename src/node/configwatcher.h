// Watches the operator's configuration in the store and tracks when it was last confirmed to be current.
#pragma once

#include "daemon/eventloop.h"
#include "platforminterfaces.h"
#include "tablestore.h"

#include <functional>
#include <memory>

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

    ConfigWatcher(EventLoop &loop, TableStore &store, const PlatformCodec &codec, const ConfigWatcherSettings &settings, ChangeHandler onChange);

    void start();
    /// Null until the first configuration has been read.
    [[nodiscard]] const std::shared_ptr<const CellConfig> &config() const;
    /// Returns true if the configuration was confirmed recently enough to accept API keys.
    [[nodiscard]] bool isFresh(TimePoint now) const;
    /// Time since the last confirmation.
    [[nodiscard]] Duration age(TimePoint now) const;

private:
    void readAll();
    void watchChanges();
    void scheduleNextRead();
    void applyRow(const TableRow &row);
    /// Records that the configuration was current when the read at @p sent was sent.
    void recordConfirmation(TimePoint sent);

    EventLoop &m_loop;
    TableStore &m_store;
    const PlatformCodec &m_codec;
    ConfigWatcherSettings m_settings;
    ChangeHandler m_onChange;
    std::shared_ptr<const CellConfig> m_config;
    RowVersion m_knownVersion; ///< Changes up to this store version are known; 0: nothing has been read.
    TimePoint m_lastConfirmed; ///< When the last successful read was sent.
    std::unique_ptr<EventWatch> m_nextReadTimer;
};

} // namespace KingCupLadder
