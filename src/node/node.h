// One daemon process of a cell: serves callers, watches the configuration, and leads the cell while it is
// elected. All daemons are identical and stateless: everything they know can be recovered from the store and the workers.
#pragma once

#include "jobapi.h"
#include "leadercontroller.h"
#include "loopmonitor.h"
#include "relayingtablestore.h"

#include "daemon/eventloop.h"
#include "daemon/httpfrontend.h"

#include <memory>
#include <string>

namespace KingCupLadder {

struct NodeSettings {
    CellMember self; ///< Includes the address that peers connect to.
    std::string callerAddress; ///< "ip:port" of the HTTP API for callers.
    std::string readyAddress; ///< "ip:port" for the load balancer's readiness probe.
    std::string readyPath = "/ready";
    std::string metricsAddress; ///< "ip:port"; empty: metrics are not served.
    ConnectionBudget callerBudget; ///< Of all three HTTP servers together.
    ConnectionBudget peerBudget = ConnectionBudget::forPeers({}); ///< Bounds the daemons that this one connects to.
    int jobPartitions = 4; ///< Store partitions that jobs are hashed to, in a cell whose store has no number yet.
    LeadershipSettings leadership;
    LeaderControllerSettings leaderController;
    JobApiSettings jobApi;
    ConfigWatcherSettings config;
    Duration minDrainTime{2300}; ///< After a stop signal; the load balancer removes a daemon after two failed probes.
    Duration maxDrainTime{5200}; ///< The platform kills the process 6 s after the stop signal.
};

class Node
{
public:
    [[nodiscard]] static Result<std::unique_ptr<Node>>
    create(EventLoop &loop, const NodeSettings &settings, PlatformCodec codec, TableStore &store, WorkerGateway &workers, AdviceGateway &advice);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Starts a graceful shutdown; @p done is called once it is complete.
    void beginStop(std::function<void()> done);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string metrics() const;

private:
    Node(EventLoop &loop, const NodeSettings &settings, PlatformCodec codec, TableStore &store, WorkerGateway &workers, AdviceGateway &advice);
    [[nodiscard]] Result<bool> open();
    void tick();
    /// Closes the listener, answers what is left and ends the daemon, each when it is due.
    void continueStop(TimePoint now);
    void updateLeadership();
    void sendLeaderHeartbeat();
    void onPeerMessage(const PeerMessaging::Envelope &message);
    void handleLeaderHeartbeat(const PeerMessaging::Envelope &message);
    void onAdviceOrder(const PeerMessaging::Envelope &message);
    void sendRequestToLeader(PeerMessaging::Envelope peerRequest, Duration timeout, const PeerMessaging::ReplyCallback &callback);
    /// Addresses of peers that may relay store calls: the leader, then the members that most recently reported that they reach the store.
    [[nodiscard]] std::vector<std::string> storeRelays() const;
    void applyCallerLimits(const CallerLimits &limits);
    void registerSelf();
    void discoverMembers();

    EventLoop &m_loop;
    NodeSettings m_settings;
    PlatformCodec m_codec;
    TableStore &m_directStore;
    WorkerGateway &m_directWorkers;
    AdviceGateway &m_advice;
    Leadership m_leadership;
    std::unique_ptr<PeerMessaging> m_peers;
    std::unique_ptr<RelayingTableStore> m_store;
    std::unique_ptr<RelayingWorkerGateway> m_workerGateway;
    std::unique_ptr<CellStorage> m_storage;
    std::unique_ptr<ConfigWatcher> m_configWatcher;
    std::unique_ptr<LeaderController> m_leaderController;
    std::unique_ptr<JobApi> m_jobApi;
    std::shared_ptr<CallerConnections> m_callerConnections;
    std::unique_ptr<HttpFrontend> m_callerServer;
    std::unique_ptr<HttpFrontend> m_readinessServer;
    std::unique_ptr<HttpFrontend> m_metricsServer;
    static constexpr Duration tickInterval{25};
    LoopMonitor m_loopMonitor{tickInterval};
    std::unique_ptr<EventWatch> m_tickTimer;
    std::map<RouteName, int> m_queued; ///< Queued jobs by route, from the last leader heartbeat or from this daemon's own scheduler.
    TimePoint m_queuedReceivedAt;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextMemberList;
    TimePoint m_nextMemberDiscovery;
    TimePoint m_nextRegistration;
    bool m_isLayoutKnown = false; ///< Where the rows of the jobs are; until then the daemon neither serves requests nor leads.
    bool m_registered = false;
    bool m_registering = false;
    bool m_discoveringMembers = false;
    bool m_wasLeader = false;
    bool m_stopping = false;
    bool m_isListenerClosed = false; ///< While stopping: callers can't open connections any more.
    TimePoint m_stopStarted;
    std::function<void()> m_onStopped;
    /// When each member last reported that it reaches the store; zero: its last report said that it does not.
    std::map<DaemonId, TimePoint> m_storeReachableAt;
};

} // namespace KingCupLadder
