// Keeps the operator's configuration up to date and knows how old its confirmation is.
#pragma once

#include "daemon/eventloop.h"
#include "platforminterfaces.h"
#include "tablestore.h"

#include <functional>
#include <memory>

namespace KingCupLadder {

struct ConfigWatcherSettings {
    Duration feedWait{900}; ///< How long the store may hold back an answer without changes.
    Duration timeout{1200}; ///< Beyond feedWait.
    Duration retry{120};
    Duration maxConfigAge{4200}; ///< A withdrawn key has to stop working within 5 s of its withdrawal.
};

class ConfigWatcher
{
public:
    using ChangeHandler = std::function<void(const std::shared_ptr<const CellConfig> &)>;

    ConfigWatcher(EventLoop &loop, TableStore &store, const PlatformCodec &translation, const ConfigWatcherSettings &settings, ChangeHandler onChange);

    void start();
    /// Null until the first configuration was read.
    [[nodiscard]] const std::shared_ptr<const CellConfig> &config() const;
    /// Was the configuration confirmed so lately that keys may be trusted?
    [[nodiscard]] bool isFresh(TimePoint now) const;
    /// Age of the last confirmation.
    [[nodiscard]] Duration age(TimePoint now) const;

private:
    void readAll();
    void follow();
    void retry();
    void onRow(const TableRow &row);
    void confirm(TimePoint sent);

    EventLoop &m_loop;
    TableStore &m_store;
    const PlatformCodec &m_translation;
    ConfigWatcherSettings m_settings;
    ChangeHandler m_onChange;
    std::shared_ptr<const CellConfig> m_config;
    RowVersion m_seen; ///< Changes up to this version of the store are known; 0: nothing was read.
    TimePoint m_confirmed; ///< When the last successful read was sent.
    std::unique_ptr<EventWatch> m_retry;
};

} // namespace KingCupLadder
