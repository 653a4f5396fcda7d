// The leader's calls to workers. In a large cell strong members carry them out: a message to a peer holds the calls of some
// milliseconds, so the leader's own processor is left for decisions. Any other member can take a carrier's place at once.
#pragma once

#include "peermessaging.h"
#include "platforminterfaces.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace KingCupLadder {

struct WorkerCallCounters {
    std::uint64_t carried = 0; ///< Calls that a peer was asked to carry out.
    std::uint64_t direct = 0;
    std::uint64_t forPeers = 0; ///< Carried out for a leader.
};

class RelayingWorkerGateway : public WorkerGateway
{
public:
    RelayingWorkerGateway(EventLoop &loop, WorkerGateway &direct, PeerMessaging &peers);

    /// The members that carry calls from now on; none: all calls are made directly. Calls that others still carry are given up. To be
    /// called regularly.
    void setRelays(const std::vector<CellMember> &carriers);
    /// The leadership has ended: nothing more is sent for the calls that are under way, and their callbacks do not come.
    void abandon();
    void start(const StartOrder &order, Epoch epoch, OrderCallback callback) override;
    void stop(const StopOrder &order, Epoch epoch, OrderCallback callback) override;
    void hold(const HoldOrder &order, Epoch epoch, HoldCallback callback) override;
    /// Carries out a leader's call.
    void serve(const PeerMessaging::Envelope &question);
    [[nodiscard]] const WorkerCallCounters &counters() const;

private:
    using Callback = std::function<void(const CellWire::WorkerResult *result)>; ///< Null: no answer.

    struct Open {
        std::string carrier;
        Callback callback;
    };

    /// The peer that carries calls to the worker; empty: none.
    [[nodiscard]] std::string carrierOf(const WorkerId &worker) const;
    void carry(const std::string &carrier, CellWire::WorkerOrder order, Duration timeout, Callback callback);
    void carryOrder(const std::string &carrier, CellWire::WorkerOrder order, const WorkerId &worker, OrderCallback callback);
    void noteFailure(const WorkerId &worker);

    EventLoop &m_loop;
    WorkerGateway &m_direct;
    PeerMessaging &m_peers;
    std::vector<std::string> m_carriers; ///< Peer addresses.
    std::map<WorkerId, TimePoint> m_directUntil; ///< Workers that a carrier did not reach lately.
    std::map<std::uint64_t, Open> m_open; ///< Calls that carriers have not answered.
    std::uint64_t m_lastOpen = 0;
    WorkerCallCounters m_counters;
};

} // namespace KingCupLadder
