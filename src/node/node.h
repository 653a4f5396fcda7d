// One daemon of a cell on the users' platform: serves callers, follows the configuration, and leads the cell when it is its
// turn. Every daemon is the same; none keeps state that the store and the workers do not have.
#pragma once

#include "jobapi.h"
#include "leadercontroller.h"
#include "relayingtablestore.h"

#include "daemon/eventloop.h"
#include "daemon/httpfrontend.h"

#include <memory>
#include <string>

namespace KingCupLadder {

struct NodeSettings {
    CellMember self; ///< With the address for peers.
    std::string callerAddress; ///< "ip:port" for callers.
    std::string readyAddress; ///< "ip:port" for the balancer's probe.
    std::string readyPath = "/ready";
    std::string metricsAddress; ///< "ip:port"; empty: no metrics.
    std::size_t maxBody = 1024UL * 1024;
    int jobPartitions = 4; ///< Parts of the store over which the jobs are spread; the same for all daemons of a cell.
    LeadershipSettings leadership;
    LeaderControllerSettings duty;
    JobApiSettings desk;
    ConfigWatcherSettings config;
    Duration minDrainTime{2300}; ///< After a stop signal; the balancer needs two missed probes to notice.
    Duration maxDrainTime{5200}; ///< The process is killed after 6 s.
};

class Node
{
public:
    [[nodiscard]] static Result<std::unique_ptr<Node>>
    create(EventLoop &loop, const NodeSettings &settings, PlatformCodec translation, TableStore &store, WorkerGateway &workers, AdviceGateway &advice);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Begins a graceful shutdown; @p done is called when nothing is left to do.
    void beginStop(std::function<void()> done);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string metrics() const;

private:
    Node(EventLoop &loop, const NodeSettings &settings, PlatformCodec translation, TableStore &store, WorkerGateway &workers, AdviceGateway &advice);
    [[nodiscard]] Result<bool> open();
    void tick();
    void driveLeadership();
    void beat();
    void onPeer(const PeerMessaging::Envelope &message);
    void onLeaderBeat(const PeerMessaging::Envelope &message);
    void onAdviceOrder(const PeerMessaging::Envelope &message);
    void askLeader(PeerMessaging::Envelope question, Duration timeout, const PeerMessaging::AnswerCallback &callback);
    [[nodiscard]] std::vector<std::string> storeHelpers() const;
    void registerSelf();
    void findMembers();

    EventLoop &m_loop;
    NodeSettings m_settings;
    PlatformCodec m_translation;
    TableStore &m_directStore;
    WorkerGateway &m_workers;
    AdviceGateway &m_advice;
    Leadership m_leadership;
    std::unique_ptr<PeerMessaging> m_peers;
    std::unique_ptr<RelayingTableStore> m_store;
    std::unique_ptr<RelayingWorkerGateway> m_carried;
    std::unique_ptr<CellStorage> m_rows;
    std::unique_ptr<ConfigWatcher> m_config;
    std::unique_ptr<LeaderController> m_duty;
    std::unique_ptr<JobApi> m_desk;
    std::unique_ptr<HttpFrontend> m_callers;
    std::unique_ptr<HttpFrontend> m_readiness;
    std::unique_ptr<HttpFrontend> m_metrics;
    std::unique_ptr<EventWatch> m_tick;
    std::map<RouteName, int> m_queued; ///< As last told by the leader.
    TimePoint m_queuedAt;
    TimePoint m_nextBeat;
    TimePoint m_nextMemberList;
    TimePoint m_nextMemberSearch;
    TimePoint m_nextRegistration;
    bool m_registered = false;
    bool m_registering = false;
    bool m_findingMembers = false;
    bool m_wasLeader = false;
    bool m_stopping = false;
    TimePoint m_stopBegun;
    std::function<void()> m_stopped;
    std::map<DaemonId, TimePoint> m_storeReachable; ///< Members that lately said that the store serves them.
};

} // namespace KingCupLadder
