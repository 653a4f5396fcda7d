// All parts of kingcupladderd, put together for one process.
#pragma once

#include "core/error.h"
#include "settings.h"

#include <memory>

namespace KingCupLadder {

class Daemon
{
public:
    /// Opens all sockets.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> create(const DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Runs until SIGTERM or SIGINT has led to a graceful stop.
    void run();
    /// Begins a graceful stop, as SIGTERM does.
    void stop();

private:
    Daemon();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
