// One soak run: real daemons as separate processes, fakes for everything else, continuous callers, and a fault sequence generated
// from a seed. Signals, restarts and configuration changes follow each other and overlap.
#pragma once

#include "daemon/connectionpool.h"
#include "fakeplatform.h"
#include "node/cellstorage.h"
#include "process/fleet.h"

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace KingCupLadder::SoakTest {

struct SoakSettings {
    std::uint64_t seed = 1;
    int daemons = 4;
    int workers = 12;
    Duration faultDuration{12000};
    bool playsCrashes = false; ///< Some jobs have a task that crashes its workers, and workers' capacities shrink and grow again.
    bool playsEvacuations = false; ///< Failure domains are evacuated for some seconds.
    Duration recoveryTimeout{30000}; ///< Admitted jobs must end within this time after the last fault.
    std::string programPath; ///< Path of kingcupladder-node.
    std::string directory; ///< The daemons' settings and logs are written here.
};

struct SoakReport {
    std::vector<std::string> violations;
    std::size_t admitted = 0;
    std::size_t succeeded = 0;
    std::size_t starts = 0;
    std::size_t crashes = 0; ///< Under deadly tasks.
    std::size_t startsBesideEvacuations = 0; ///< In other failure domains while an evacuation had to be in force.
    std::vector<std::string> faults; ///< Injected faults with their times.
};

class Soak
{
public:
    explicit Soak(const SoakSettings &settings);
    ~Soak();
    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

    [[nodiscard]] SoakReport run();

private:
    struct Daemon {
        std::string id;
        std::string callerAddress; ///< Address of the daemon itself, behind callerLink.
        std::string settingsFile;
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<FaultProxy> callerLink;
        std::unique_ptr<ProcessTest::Process> process;
    };
    struct Caller;

    void writeConfig();
    void startDaemon(Daemon &daemon);
    void injectFault();
    void faultDaemon(Daemon &daemon);
    /// @p machine: the daemon of which it is a link, or the worker's address.
    void faultLink(FaultProxy &link, const std::string &name, const std::string &machine);
    void faultStore();
    void shrinkWorker();
    void evacuateDomain();
    /// Records that a daemon, the store or a worker's link is disturbed for @p length from now.
    void recordDisturbance(const std::string &machine, Duration length);
    [[nodiscard]] bool isCalm(const std::string &machine) const;
    [[nodiscard]] bool isLeaderInTouch(Epoch epoch) const;
    void submitJob();
    void attempt(const JobId &id, int attemptsLeft);
    void queryState(const JobId &id);
    void cancelJob(const JobId &id);
    void tick();
    void runFor(Duration length, const std::function<bool()> &isOver);
    void logFault(const std::string &fault);
    [[nodiscard]] int randomBelow(int below);
    [[nodiscard]] Duration randomDuration(int min, int max);
    [[nodiscard]] std::string randomCallerAddress();

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    std::unique_ptr<EventLoop> m_loop;
    GuaranteeChecker m_checker;
    std::unique_ptr<FakeStoreServer> m_store;
    std::unique_ptr<CellStorage> m_storage; ///< Reads the leader's row.
    std::unique_ptr<FakeWorkerServers> m_workers;
    std::unique_ptr<FakePolicyServer> m_policy;
    std::list<Daemon> m_daemons;
    std::unique_ptr<ConnectionPools> m_clients;
    std::unique_ptr<DelayedCalls> m_delayedCalls; ///< Ends of faults, restarts and callers' retries.
    std::vector<JobId> m_jobs;
    std::map<JobId, std::string> m_jobBodies;
    std::vector<std::string> m_faults;
    std::map<Epoch, std::string> m_leaders; ///< Daemons by the epoch of their leadership.
    std::map<std::string, TimePoint> m_disturbedUntil; ///< Ends of the last disturbances; may lie in the future.
    TimePoint m_startedAt;
    TimePoint m_nextJob;
    TimePoint m_nextFault;
    TimePoint m_nextQuery;
    TimePoint m_nextShrinking;
    TimePoint m_nextEvacuation;
    std::uint64_t m_lastJob = 0;
    int m_configVersion = 0;
    bool m_submitting = false;
    bool m_injectingFaults = false;
};

} // namespace KingCupLadder::SoakTest
