// What a daemon does while it leads the cell: loads the jobs, follows the registry and the jobs' rows, carries out the
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
    Duration registryPollInterval{600}; ///< A draining worker has to be noticed within 2 s.
    Duration changePollInterval{1000}; ///< Finds jobs whose notices were lost.
    Duration progressInterval{100}; ///< Between writes of progress that is not final; ends wait for them on the workers.
    Duration finalStateInterval{8}; ///< Final states are stored in batches of about this time.
    Duration loadRetryInterval{150};
};

class LeaderController
{
public:
    LeaderController(EventLoop &loop,
                     const CellMember &self,
                     const LeaderControllerSettings &settings,
                     Leadership &leadership,
                     CellStorage &rows,
                     TableStore &store,
                     const PlatformCodec &translation,
                     RelayingWorkerGateway &workers,
                     AdviceGateway &advice,
                     PeerMessaging &peers,
                     std::function<void()> onRenewalWanted);

    /// Starts or ends the duty when the leadership has changed; runs what is due.
    void tick();
    void setConfig(const std::shared_ptr<const CellConfig> &config);
    /// Answers a question of a peer, or of this daemon itself.
    [[nodiscard]] PeerMessaging::Envelope answer(const PeerMessaging::Envelope &question);
    /// Does a decision as soon as the events at hand are handled.
    void wake();
    [[nodiscard]] bool isActive() const;
    [[nodiscard]] bool isLoaded() const;
    [[nodiscard]] const CellScheduler &scheduler() const;

private:
    void begin();
    void end();
    void load();
    void pollRegistry();
    void pollChanges();
    void decide();
    void storeProgress();
    void carryOut(const CellOrders &orders);
    void sendAdvice(const AdviceCall &call);
    void chooseCarriers();
    void logLoad();
    [[nodiscard]] CellTime time() const;
    /// A callback that does nothing once this leadership has ended.
    template<typename Function>
    [[nodiscard]] auto whileLeading(Function function) const
    {
        return [this, term = m_term, function](const auto &...arguments) {
            if (term == m_term) {
                function(arguments...);
            }
        };
    }

    EventLoop &m_loop;
    CellMember m_self;
    LeaderControllerSettings m_settings;
    Leadership &m_leadership;
    CellStorage &m_rows;
    TableStore &m_store;
    const PlatformCodec &m_translation;
    RelayingWorkerGateway &m_workers;
    AdviceGateway &m_advice;
    PeerMessaging &m_peers;
    std::function<void()> m_onRenewalWanted; ///< New jobs wait for a renewal of the leader's row.
    CellScheduler m_scheduler;
    std::vector<CellMember> m_carriers;
    bool m_active = false;
    std::uint64_t m_term = 0; ///< Grows at the begin and end of each leadership; tells late answers apart.
    Epoch m_epoch;
    RowVersion m_changesSeen;
    bool m_registryOpen = false;
    bool m_changesOpen = false;
    bool m_loading = false;
    int m_progressOpen = 0;
    TimePoint m_nextRegistry;
    TimePoint m_nextChanges;
    TimePoint m_nextProgress;
    TimePoint m_nextFinals;
    TimePoint m_nextLoad;
    TimePoint m_nextLoadLine;
    CellCounters m_loggedCounters; ///< As of the last line about the load.
    std::uint64_t m_decisions = 0; ///< Since then.
    std::uint64_t m_adviceAnswers = 0;
    Duration m_adviceDelay{0}; ///< Of these answers, beyond the time that the calls take in the service.
    std::unique_ptr<EventWatch> m_wake;
    bool m_wakeSet = false;
};

} // namespace KingCupLadder
