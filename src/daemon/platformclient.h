// Executes the core's commands to the store and the VM list over HTTP and JSON. Every command gets exactly one reply within the
// timeout. Without a valid response, the reply has StoreStatus::Unknown or, for the VM list, no list.
#pragma once

#include "connectionpool.h"
#include "core/messages.h"

#include <functional>
#include <memory>

namespace KingCupLadder {

struct PlatformClientSettings {
    std::string address; ///< "ip:port".
    Duration timeout{1500}; ///< For one command, including all its pages.
    std::size_t maxConnections = 6; ///< Enough that one unresponsive connection doesn't delay the lease renewal.
};

class PlatformClient
{
public:
    using StoreReplyHandler = std::function<void(const StoreReply &)>;
    using VmListHandler = std::function<void(const VmListReply &)>;

    PlatformClient(EventLoop &loop, const PlatformClientSettings &settings, StoreReplyHandler onStoreReply, VmListHandler onVmList);

    void transact(const StoreTransaction &command);
    void scan(const StoreScan &command);
    void read(const StoreRead &command);
    void readVms(const VmListRead &command);

    [[nodiscard]] std::uint64_t operations() const; ///< HTTP requests sent.
    [[nodiscard]] std::uint64_t writes() const; ///< Transactions among them.
    [[nodiscard]] TrafficCounters traffic() const;

private:
    struct ScanState;
    struct ReadState;
    void get(const std::string &target, TimePoint deadline, ConnectionPool::Callback callback);
    void scanPage(const std::shared_ptr<ScanState> &state, const std::string &after);
    void onRowRead(const std::shared_ptr<ReadState> &state, std::size_t index, const ClientResult &result);

    EventLoop &m_loop;
    PlatformClientSettings m_settings;
    StoreReplyHandler m_onStoreReply;
    VmListHandler m_onVmList;
    ConnectionPool m_pool;
    std::uint64_t m_operations = 0;
    std::uint64_t m_writes = 0;
};

} // namespace KingCupLadder
