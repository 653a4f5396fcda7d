// Executes the core's store commands over HTTP and JSON. Every command gets exactly one reply within the operation timeout:
// StoreStatus::Unknown or an empty list if there is no valid response.
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
    using StoreHandler = std::function<void(const StoreReply &)>;
    using VmHandler = std::function<void(const VmListReply &)>;

    PlatformClient(EventLoop &loop, const PlatformClientSettings &settings, StoreHandler onStore, VmHandler onVms);

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
    void onReadRow(const std::shared_ptr<ReadState> &state, std::size_t index, const ClientResult &result);

    EventLoop &m_loop;
    PlatformClientSettings m_settings;
    StoreHandler m_onStore;
    VmHandler m_onVms;
    ConnectionPool m_pool;
    std::uint64_t m_operations = 0;
    std::uint64_t m_writes = 0;
};

} // namespace KingCupLadder
