// Simulates a fleet: daemon cores, a fake store and fake workers on one fake clock, connected by a fake network. One seeded event
// queue drives everything, so a run is determined by its seed.
#pragma once

#include "core/daemoncore.h"
#include "core/fakestore.h"
#include "fakeworker.h"
#include "invariantchecker.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder::Matrix {

/// A named step of a protocol at which a fault can be injected.
struct Step {
    std::string name; ///< For example "write jobs before", "peer JobForward after" or "sync start before".
    std::size_t daemon = 0; ///< The daemon that issued the command.
};

struct FleetOptions {
    std::uint64_t seed = 1;
    std::size_t daemons = 3;
    std::size_t domains = 2;
    std::size_t workersPerDomain = 3;
    std::function<void(DaemonCoreSettings &)> adjustSettings; ///< Changes the settings of each daemon, for example to turn off safety checks.
    std::function<void(FakeWorker &)> adjustWorker;
};

class MatrixFleet
{
public:
    explicit MatrixFleet(const FleetOptions &options);

    InvariantChecker checker;
    FakeStore store;
    bool storeDown = false;
    bool storeLosesReplies = false; ///< Writes take effect, but their replies are lost.
    Duration storeDelay{2};
    bool vmListFrozen = false; ///< The VM list no longer changes.
    double duplicateChance = 0.0; ///< Probability that a message between daemons is duplicated.
    Duration peerJitter{2}; ///< Maximum delay of messages between daemons; large values reorder them.
    double syncDelayChance = 0.0; ///< Probability that a message to a worker arrives after the sender's timeout.
    Duration syncDelay{4000}; ///< Maximum delay of such a message after the timeout.
    std::vector<std::unique_ptr<FakeWorker>> workers;
    std::function<void(const Step &)> onStep; ///< Called at every step.

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    void run(Duration span);
    /// Runs until the condition holds. Returns false if it does not hold within @p span.
    bool runUntil(const std::function<bool()> &condition, Duration span);

    // Daemons.

    [[nodiscard]] std::size_t daemonCount() const
    {
        return m_daemons.size();
    }
    /// Returns false for a paused daemon, too.
    [[nodiscard]] bool isUp(std::size_t daemon) const
    {
        return m_daemons[daemon].core != nullptr && m_now >= m_daemons[daemon].pausedUntil;
    }
    [[nodiscard]] DaemonCore &core(std::size_t daemon)
    {
        return *m_daemons[daemon].core;
    }
    [[nodiscard]] FailureDomain domainOf(std::size_t daemon) const
    {
        return m_daemons[daemon].info.domain;
    }
    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    void pause(std::size_t daemon, Duration span);
    /// Executes the pending commands of a daemon, then waits for the answer to one of its operations. Returns an empty optional if
    /// there is none within @p span.
    [[nodiscard]] std::optional<CallerAnswer> await(std::size_t daemon, OpId op, Duration span);
    [[nodiscard]] std::optional<CallerAnswer> answerOf(std::size_t daemon, OpId op) const;

    // Network. A link is identified by its ends, each a failure domain or "store". A cut affects one direction.

    void cut(const std::string &from, const std::string &to);
    void cutBothWays(const std::string &a, const std::string &b);
    void healNetwork();

    // Workers.

    /// Kills a worker. The VM list still contains its VM for @p listedFor.
    void killWorker(std::size_t worker, Duration listedFor);
    void markLeaving(std::size_t worker);

    // Work.

    void applyTables(const std::string &routes, const std::string &pools);
    /// Submits a job through a daemon that is up. The job is tracked if it is acknowledged.
    OpId submit(std::size_t daemon, const JobSpec &job);
    /// Returns whether every acknowledged job has succeeded or was cancelled.
    [[nodiscard]] bool allFinished() const;
    [[nodiscard]] std::size_t acknowledgedJobs() const
    {
        return m_acknowledged.size();
    }
    [[nodiscard]] std::string unfinishedJobs() const;

private:
    struct Daemon {
        PeerInfo info;
        std::unique_ptr<DaemonCore> core;
        std::uint64_t run = 0; ///< The number of starts. Events of earlier runs are dropped.
        TimePoint pausedUntil{};
        std::map<OpId, CallerAnswer> answers;
        ConfigVersion lastTablesVersion; ///< At the last check by checkVersionsMonotonic().
        ConfigVersion lastKeysVersion; ///< At the last check by checkVersionsMonotonic().
    };
    struct Event {
        TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    struct Later {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void schedule(TimePoint when, std::function<void()> action);
    /// Runs the action on the daemon if it is still the same run; defers it while the daemon is paused.
    void runInDaemon(std::size_t daemon, std::uint64_t run, const std::function<void(DaemonCore &)> &action);
    void tickDaemon(std::size_t daemon, std::uint64_t run);
    void execute(std::size_t daemon);
    void executeStore(std::size_t daemon, OpId op, const std::string &name, bool isWrite, const std::function<StoreReply()> &effect);
    void executeVmList(std::size_t daemon, OpId op);
    void executeSync(std::size_t daemon, const SyncWorker &sync);
    void executePeer(std::size_t daemon, const SendPeerMessage &send);
    void deliverPeer(std::size_t from, std::size_t to, const PeerMessage &message);
    void recordAnswer(std::size_t daemon, const CallerAnswer &answer);
    void checkVersionsMonotonic(std::size_t daemon);
    /// Calls onStep, which may inject a fault.
    void reachStep(std::size_t daemon, const std::string &name);
    [[nodiscard]] Duration randomDelay(Duration maximum); ///< Between 1 ms and the maximum.
    [[nodiscard]] bool isCut(const std::string &from, const std::string &to) const;

    FleetOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{Duration(1000000)};
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::vector<Daemon> m_daemons;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<VmInfo> m_vmList;
    std::map<std::pair<std::size_t, OpId>, JobSpec> m_submitted;
    std::map<JobId, JobSpec> m_acknowledged;
};

} // namespace KingCupLadder::Matrix
