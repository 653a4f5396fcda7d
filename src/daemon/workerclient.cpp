// Sends sync messages as HTTP requests, on separate connections so that slow applications can't delay them.
#include "workerclient.h"

#include "workercodec.h"

namespace KingCupLadder {

namespace {

ConnectionPoolSettings poolSettings()
{
    ConnectionPoolSettings settings;
    settings.maxConnections = 2; // Only one message is in flight; the second connection is for the case that the first becomes unresponsive.
    settings.maxQueued = 4;
    return settings;
}

} // namespace

WorkerClient::WorkerClient(EventLoop &loop, Duration timeout, Handler handler)
    : m_timeout(timeout), m_handler(std::move(handler)), m_pools(loop, poolSettings())
{
}

void WorkerClient::sync(const SyncWorker &command)
{
    ++m_syncs;
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/sync";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encodeSync(command.request);
    request.timeout = m_timeout;
    const bool inventory = command.request.inventory;
    m_pools.pool(command.address).send(request, [this, op = command.op, worker = command.worker, inventory](const ClientResult &result) {
        WorkerReply reply{op, worker, std::nullopt};
        // A worker that refuses a request sends its sync reply with status 409.
        if (result.kind == ClientResult::Kind::Answered && (result.response.status == httpOk || result.response.status == httpConflict)) {
            reply.reply = decodeSyncReply(worker, inventory, result.response.body);
        }
        m_handler(reply);
    });
}

std::uint64_t WorkerClient::syncs() const
{
    return m_syncs;
}

TrafficCounters WorkerClient::traffic() const
{
    return m_pools.traffic();
}

} // namespace KingCupLadder
