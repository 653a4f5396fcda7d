// Sends the leader's calls to workers. In a large cell, the members with the most CPU relay them: one message to a peer contains the calls of
// several milliseconds, which leaves the leader's CPU to scheduling. A relay can be replaced by any other member at any time.
#pragma once

#include "acknowledgementguard.h"
#include "peermessaging.h"
#include "platforminterfaces.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace KingCupLadder {

struct WorkerCallCounters {
    std::uint64_t relayed = 0; ///< Calls sent through a relay.
    std::uint64_t direct = 0; ///< Calls sent directly to the worker.
    std::uint64_t forPeers = 0; ///< Calls made on behalf of a leader.
};

class RelayingWorkerGateway : public WorkerGateway
{
public:
    RelayingWorkerGateway(EventLoop &loop, WorkerGateway &direct, PeerMessaging &peers);

    /// Sets the members that relay calls from now on; if empty, all calls are made directly. Calls that are pending at other relays
    /// end without an answer. Must be called regularly, since it also expires the workers that are called directly.
    void setRelays(const std::vector<CellMember> &relays);
    /// Drops all pending calls when the leadership has ended: nothing more is sent for them, and their callbacks do not run.
    void dropPendingCalls();
    void start(const StartOrder &order, Epoch epoch, OrderCallback callback) override;
    void stop(const StopOrder &order, Epoch epoch, OrderCallback callback) override;
    void hold(const HoldOrder &order, Epoch epoch, HoldCallback callback) override;
    /// Makes a call on behalf of the leader.
    void serve(const PeerMessaging::Envelope &peerRequest);
    [[nodiscard]] const WorkerCallCounters &counters() const;

private:
    using Callback = std::function<void(const CellWire::WorkerResult *result)>; ///< Null: no answer.

    struct PendingCall {
        std::string relay;
        Callback callback;
    };

    /// Address of the peer that relays calls to the worker; empty: the worker is called directly.
    [[nodiscard]] std::string relayFor(const WorkerId &worker) const;
    void relayCall(const std::string &relay, CellWire::WorkerOrder order, Duration timeout, Callback callback);
    void relayOrder(const std::string &relay, CellWire::WorkerOrder order, const WorkerId &worker, OrderCallback callback);
    /// Sends a hold to the worker itself, for this daemon or for a leader.
    void holdDirectly(const HoldOrder &order, Epoch epoch, HoldCallback callback);
    /// Records that a relayed call got no answer. The worker is called directly for some time, since it is not known whether the relay or the
    /// worker failed.
    void recordRelayFailure(const WorkerId &worker);

    EventLoop &m_loop;
    WorkerGateway &m_direct;
    PeerMessaging &m_peers;
    std::vector<std::string> m_relays; ///< Peer addresses.
    std::map<WorkerId, TimePoint> m_directUntil; ///< Workers that a relay recently did not reach, and until when they are called directly.
    std::map<std::uint64_t, PendingCall> m_pending; ///< Calls that relays have not answered.
    AcknowledgementGuard m_acknowledgementGuard;
    std::uint64_t m_lastCallId = 0;
    WorkerCallCounters m_counters;
};

} // namespace KingCupLadder
