// One daemon process with lowered limits, and fakes of the platform around it.
#pragma once

#include "daemon/connectionpool.h"
#include "platform/soak/fakeplatform.h"
#include "process/fleet.h"

#include <memory>
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

    /// Submits a new job like an ordinary caller, who repeats a request that was not answered. Returns whether it was accepted.
    [[nodiscard]] bool submitsJob();
    /// Runs the cell for some time and samples the daemon's descriptors.
    void runFor(Duration length);
    [[nodiscard]] bool isDaemonRunning() const;
    [[nodiscard]] double peakMemoryMb() const; ///< VmHWM of the daemon.
    [[nodiscard]] std::size_t peakDescriptors() const; ///< Largest sample.

private:
    void writeSettings(const std::string &storeAddress, const std::string &policyAddress, const CellLimits &limits) const;
    void sampleDescriptors();

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
    std::size_t m_peakDescriptors = 0;
    int m_lastJob = 0;
};

} // namespace KingCupLadder::LimitsTest
