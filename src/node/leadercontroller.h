// Runs the scheduler while this daemon leads the cell: loads the jobs, polls the worker registry and the job rows, executes the
// scheduler's orders, and stores progress.
#pragma once

#include "cell/cellscheduler.h"
#include "cell/leadership.h"
#include "cellstorage.h"
#include "peermessaging.h"
#include "platforminterfaces.h"
#include "relayingworkergateway.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace KingCupLadder {

struct LeaderControllerSettings {
    CellSchedulerSettings scheduler;
    Duration registryPollInterval{600}; ///< A draining worker must be detected within 2 s.
    Duration changePollInterval{1000}; ///< Polling finds jobs whose notices were lost.
    Duration progressInterval{100}; ///< Between writes of non-final progress. Nothing is lost meanwhile: workers keep ended runs until their ends are stored.
    Duration finalStateInterval{8}; ///< Final states that arrive within this time are stored together.
    Duration loadRetryInterval{150};
};

class LeaderController
{
public:
    LeaderController(EventLoop &loop,
                     const CellMember &self,
                     const LeaderControllerSettings &settings,
                     Leadership &leadership,
                     CellStorage &storage,
                     TableStore &store,
                     const PlatformCodec &codec,
                     RelayingWorkerGateway &workers,
                     AdviceGateway &advice,
                     PeerMessaging &peers,
                     std::function<void()> onRenewalNeeded);

    /// Starts or stops the scheduler when the leadership has changed, and runs periodic work that is due.
    void tick();
    void setConfig(const std::shared_ptr<const CellConfig> &config);
    /// To be called before setConfig() for sets that were read together with the configuration, since placement begins with that.
    void setEvacuatedDomains(const std::set<FailureDomain> &domains);
    /// Handles a request from a peer or from this daemon itself and returns the reply.
    [[nodiscard]] PeerMessaging::Envelope handleRequest(const PeerMessaging::Envelope &peerRequest);
    /// Schedules a scheduling round shortly after the current events are handled.
    void scheduleRound();
    [[nodiscard]] bool isActive() const;
    [[nodiscard]] bool isLoaded() const;
    [[nodiscard]] const CellScheduler &scheduler() const;

private:
    void beginLeadership();
    void endLeadership();
    void load();
    void pollRegistry();
    void pollChanges();
    void runSchedulingRound();
    void storeProgress();
    void executeOrders(const CellOrders &orders);
    void requestAdvice(const AdviceCall &call);
    void chooseRelays();
    void logStatistics();
    [[nodiscard]] CellTime time() const;
    /// Wraps a callback so that it does nothing once the current leadership has ended.
    template<typename Function>
    [[nodiscard]] auto whileLeading(Function function) const
    {
        return [this, generation = m_leadershipGeneration, function](const auto &...arguments) {
            if (generation == m_leadershipGeneration) {
                function(arguments...);
            }
        };
    }

    EventLoop &m_loop;
    CellMember m_self;
    LeaderControllerSettings m_settings;
    Leadership &m_leadership;
    CellStorage &m_storage;
    TableStore &m_store;
    const PlatformCodec &m_codec;
    RelayingWorkerGateway &m_workers;
    AdviceGateway &m_advice;
    PeerMessaging &m_peers;
    std::function<void()> m_onRenewalNeeded; ///< Called when new jobs wait for a renewal of the leader row.
    CellScheduler m_scheduler;
    std::vector<CellMember> m_relays;
    bool m_active = false;
    std::uint64_t m_leadershipGeneration = 0; ///< Incremented when a leadership begins and ends, so that late answers are ignored.
    Epoch m_epoch;
    TimePoint m_leadingSince;
    bool m_hasStartedTasks = false; ///< In the present epoch.
    RowVersion m_changesReadUpTo; ///< The change feed of the job rows has been read up to this version.
    bool m_registryReadPending = false;
    bool m_changesReadPending = false;
    bool m_loading = false;
    int m_progressInFlight = 0;
    TimePoint m_nextRegistryPoll;
    TimePoint m_nextChangePoll;
    TimePoint m_nextProgressWrite;
    TimePoint m_nextFinalStateWrite;
    TimePoint m_nextLoadAttempt;
    TimePoint m_nextStatisticsLog;
    CellCounters m_loggedCounters; ///< Counters at the time of the last statistics log line.
    std::uint64_t m_rounds = 0; ///< Scheduling rounds since the last statistics log line.
    std::uint64_t m_adviceAnswers = 0; ///< Answers of the policy service since the last statistics log line.
    Duration m_adviceExtraDelay{0}; ///< Sum over these answers of the time beyond the expected duration of the call.
    std::unique_ptr<EventWatch> m_roundTimer;
    bool m_roundScheduled = false;
};

} // namespace KingCupLadder
