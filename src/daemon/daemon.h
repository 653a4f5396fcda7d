// Creates and connects the components of kingcupladderd.
#pragma once

#include "core/error.h"
#include "settings.h"

#include <memory>

namespace KingCupLadder {

class Daemon
{
public:
    /// Creates all components and opens their sockets.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> create(const DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Runs until a graceful shutdown, started by SIGTERM, SIGINT or stop(), has finished.
    void run();
    /// Starts a graceful shutdown, as SIGTERM does.
    void stop();

private:
    Daemon();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
