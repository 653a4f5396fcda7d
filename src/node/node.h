// One daemon of a cell on the users' platform: serves callers, follows the configuration, and leads the cell when it is its
// turn. Every daemon is the same; none keeps state that the store and the workers do not have.
#pragma once

#include "frontdesk.h"
#include "leaderduty.h"
#include "relaystore.h"

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
    int jobParts = 4; ///< Parts of the store over which the jobs are spread; the same for all daemons of a cell.
    LeadershipSettings leadership;
    LeaderDutySettings duty;
    FrontDeskSettings desk;
    ConfigFollowerSettings config;
    Duration drainAtLeast{2300}; ///< After a stop signal; the balancer needs two missed probes to notice.
    Duration drainAtMost{5200}; ///< The process is killed after 6 s.
};

class Node
{
public:
    [[nodiscard]] static Result<std::unique_ptr<Node>>
    create(EventLoop &loop, const NodeSettings &settings, Translation translation, TableStore &store, WorkerPort &workers, AdvicePort &advice);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Begins a graceful shutdown; @p done is called when nothing is left to do.
    void beginStop(std::function<void()> done);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string metrics() const;

private:
    Node(EventLoop &loop, const NodeSettings &settings, Translation translation, TableStore &store, WorkerPort &workers, AdvicePort &advice);
    [[nodiscard]] Result<bool> open();
    void tick();
    void driveLeadership();
    void beat();
    void onPeer(const CellPeers::Envelope &message);
    void onLeaderBeat(const CellPeers::Envelope &message);
    void onAdviceOrder(const CellPeers::Envelope &message);
    void askLeader(CellPeers::Envelope question, Duration timeout, const CellPeers::AnswerCallback &callback);
    [[nodiscard]] std::vector<std::string> storeHelpers() const;
    void registerSelf();
    void findMembers();

    EventLoop &m_loop;
    NodeSettings m_settings;
    Translation m_translation;
    TableStore &m_directStore;
    WorkerPort &m_workers;
    AdvicePort &m_advice;
    Leadership m_leadership;
    std::unique_ptr<CellPeers> m_peers;
    std::unique_ptr<RelayStore> m_store;
    std::unique_ptr<CarriedWorkers> m_carried;
    std::unique_ptr<CellRows> m_rows;
    std::unique_ptr<ConfigFollower> m_config;
    std::unique_ptr<LeaderDuty> m_duty;
    std::unique_ptr<FrontDesk> m_desk;
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
