// Executes SyncWorker commands over HTTP and JSON. Each command gets exactly one reply within the timeout, an empty one if
// there is no valid response.
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
