// Sends store commands and reads of the VM list as HTTP requests.
#include "platformclient.h"

#include "storecodec.h"

namespace KingCupLadder {

namespace {

constexpr std::size_t rowsPerPage = 1000;
constexpr std::size_t maxResponseBytes = 64UL * 1024 * 1024; // Fits a page of 1000 rows of about 64 KiB on average; a payload may have up to 256 KiB.

ConnectionPoolSettings poolSettings(const PlatformClientSettings &settings)
{
    ConnectionPoolSettings pool;
    pool.maxConnections = settings.maxConnections;
    pool.maxBody = maxResponseBytes;
    return pool;
}

bool isOk(const ClientResult &result)
{
    return result.kind == ClientResult::Kind::Answered && result.response.status == httpOk;
}

} // namespace

/// State of a scan, which is read in pages.
struct PlatformClient::ScanState {
    StoreScan command;
    TimePoint deadline;
    std::vector<Row> rows;
};

/// State of a read of several keys, with one request per key.
struct PlatformClient::ReadState {
    StoreRead command;
    std::vector<Row> rows; ///< In the order of the keys.
    std::size_t pending = 0;
    bool failed = false;
};

PlatformClient::PlatformClient(EventLoop &loop, const PlatformClientSettings &settings, StoreReplyHandler onStoreReply, VmListHandler onVmList)
    : m_loop(loop)
    , m_settings(settings)
    , m_onStoreReply(std::move(onStoreReply))
    , m_onVmList(std::move(onVmList))
    , m_pool(loop, settings.address, poolSettings(settings))
{
}

void PlatformClient::get(const std::string &target, TimePoint deadline, ConnectionPool::Callback callback)
{
    ++m_operations;
    ClientRequest request;
    request.target = target;
    request.timeout = std::max(deadline - m_loop.now(), Duration(1));
    m_pool.send(request, std::move(callback));
}

void PlatformClient::transact(const StoreTransaction &command)
{
    ++m_operations;
    ++m_writes;
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/tx";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encodeTransaction(command);
    request.timeout = m_settings.timeout;
    m_pool.send(request, [this, command](const ClientResult &result) {
        const int status = result.kind == ClientResult::Kind::Answered ? result.response.status : 0;
        m_onStoreReply(decodeTransactionReply(command, status, result.response.body));
    });
}

void PlatformClient::scan(const StoreScan &command)
{
    auto state = std::make_shared<ScanState>(ScanState{command, m_loop.now() + m_settings.timeout, {}});
    scanPage(state, {});
}

void PlatformClient::scanPage(const std::shared_ptr<ScanState> &state, const std::string &after)
{
    const std::string target = rowsTarget(state->command.table, state->command.prefix, after, rowsPerPage);
    get(target, state->deadline, [this, state, after](const ClientResult &result) {
        auto page = isOk(result) ? decodeRows(state->command.table, result.response.body) : std::nullopt;
        // If the last key of a page is not after that of the previous page, the scan would never end.
        if (!page || (page->more && (page->rows.empty() || page->rows.back().key <= after))) {
            m_onStoreReply(StoreReply{state->command.op, StoreStatus::Unknown, {}});
            return;
        }
        std::move(page->rows.begin(), page->rows.end(), std::back_inserter(state->rows));
        if (page->more) {
            scanPage(state, state->rows.back().key);
            return;
        }
        m_onStoreReply(StoreReply{state->command.op, StoreStatus::Ok, std::move(state->rows)});
    });
}

void PlatformClient::read(const StoreRead &command)
{
    auto state = std::make_shared<ReadState>();
    state->command = command;
    state->rows.resize(command.keys.size());
    state->pending = command.keys.size();
    if (command.keys.empty()) {
        m_loop.defer([this, op = command.op] { m_onStoreReply(StoreReply{op, StoreStatus::Ok, {}}); });
        return;
    }
    const TimePoint deadline = m_loop.now() + m_settings.timeout;
    for (std::size_t index = 0; index < command.keys.size(); ++index) {
        // Of all keys with this prefix, the key itself sorts first.
        const std::string target = rowsTarget(command.table, command.keys[index], {}, 1);
        get(target, deadline, [this, state, index](const ClientResult &result) { onRowRead(state, index, result); });
    }
}

void PlatformClient::onRowRead(const std::shared_ptr<ReadState> &state, std::size_t index, const ClientResult &result)
{
    const std::string &key = state->command.keys[index];
    auto page = isOk(result) ? decodeRows(state->command.table, result.response.body) : std::nullopt;
    if (!page) {
        state->failed = true;
    } else if (!page->rows.empty() && page->rows.front().key == key) {
        state->rows[index] = std::move(page->rows.front());
    } else {
        state->rows[index] = Row{state->command.table, key, RowVersion(), {}};
    }
    if (--state->pending > 0) {
        return;
    }
    if (state->failed) {
        m_onStoreReply(StoreReply{state->command.op, StoreStatus::Unknown, {}});
    } else {
        m_onStoreReply(StoreReply{state->command.op, StoreStatus::Ok, std::move(state->rows)});
    }
}

void PlatformClient::readVms(const VmListRead &command)
{
    get("/v1/vms", m_loop.now() + m_settings.timeout, [this, op = command.op](const ClientResult &result) {
        m_onVmList(VmListReply{op, isOk(result) ? decodeVms(result.response.body) : std::nullopt});
    });
}

std::uint64_t PlatformClient::operations() const
{
    return m_operations;
}

std::uint64_t PlatformClient::writes() const
{
    return m_writes;
}

TrafficCounters PlatformClient::traffic() const
{
    return m_pool.traffic();
}

} // namespace KingCupLadder
