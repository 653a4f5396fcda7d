// Executes SyncWorker commands over HTTP + JSON. Each is answered exactly once within the timeout; without a usable answer as
// an empty reply.
#pragma once

#include "connectionpool.h"
#include "core/messages.h"

#include <functional>

namespace KingCupLadder {

class WorkerClient
{
public:
    using Handler = std::function<void(const WorkerReply &)>;

    WorkerClient(EventLoop &loop, Duration timeout, Handler handler);

    void sync(const SyncWorker &command);
    [[nodiscard]] std::uint64_t syncs() const;
    [[nodiscard]] TrafficCounters traffic() const;

private:
    Duration m_timeout;
    Handler m_handler;
    ConnectionPools m_pools;
    std::uint64_t m_syncs = 0;
};

} // namespace KingCupLadder
