// One daemon process with lowered limits, and fakes of the platform around it.
#pragma once

#include "daemon/connectionpool.h"
#include "platform/soak/fakeplatform.h"
#include "process/fleet.h"
#include "processuse.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace KingCupLadder::LimitsTest {

struct CellLimits {
    int memoryMb = 0; ///< limits.memory_mb of the settings file.
    int descriptors = 0; ///< limits.max_fds of the settings file.
};

class LimitedCell
{
public:
    explicit LimitedCell(const CellLimits &limits);
    ~LimitedCell();
    LimitedCell(const LimitedCell &) = delete;
    LimitedCell &operator=(const LimitedCell &) = delete;

    [[nodiscard]] EventLoop &loop();
    [[nodiscard]] const std::string &callerAddress() const;
    [[nodiscard]] const std::string &readyAddress() const;
    [[nodiscard]] const std::string &metricsAddress() const;
    [[nodiscard]] const std::string &peerAddress() const;

    /// Ports that callers can reach.
    [[nodiscard]] std::set<std::string> listenerAddresses() const;
    /// Submits a new job like an ordinary caller, who repeats a request that was not answered. Returns whether it was accepted.
    [[nodiscard]] bool submitsJob();
    /// Runs the cell for some time and samples the daemon's memory and descriptors.
    void runFor(Duration length);
    /// Puts a configuration in force whose limits for requests are lower than those of the start.
    void lowerRequestLimits();
    /// Delays all answers of the store.
    void delayStore(Duration delay);
    /// Sends SIGTERM and runs the cell until the daemon has ended. Returns its exit code; empty if it did not end in time.
    [[nodiscard]] std::optional<int> stopDaemon();
    [[nodiscard]] bool isDaemonRunning() const;
    [[nodiscard]] const ProcessUse &use() const;
    [[nodiscard]] std::string metrics();
    [[nodiscard]] std::size_t logBytes() const; ///< Length of the daemon's log.

private:
    void writeSettings(const std::string &storeAddress, const std::string &policyAddress, const CellLimits &limits) const;
    [[nodiscard]] ClientResult answerOf(const std::string &address, const ClientRequest &request);
    void writeConfig(int version, std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    std::unique_ptr<EventLoop> m_loop;
    SoakTest::GuaranteeChecker m_checker;
    std::string m_directory;
    std::string m_callerAddress;
    std::string m_readyAddress;
    std::string m_peerAddress;
    std::string m_metricsAddress;
    std::unique_ptr<SoakTest::FakeStoreServer> m_store;
    std::unique_ptr<SoakTest::FakeWorkerServers> m_workers;
    std::unique_ptr<SoakTest::FakePolicyServer> m_policy;
    std::unique_ptr<ConnectionPools> m_clients;
    std::unique_ptr<EventWatch> m_timer;
    std::unique_ptr<ProcessTest::Process> m_daemon;
    std::unique_ptr<ProcessUse> m_use;
    TimePoint m_nextSample;
    int m_lastJob = 0;
};

} // namespace KingCupLadder::LimitsTest
