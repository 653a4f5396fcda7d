// A TableStore that calls the store directly, or through a peer while the store does not answer this daemon.
#pragma once

#include "peermessaging.h"
#include "tablestore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace KingCupLadder {

struct StoreCallCounters {
    std::uint64_t calls = 0; ///< Calls made for this daemon itself.
    std::uint64_t relayed = 0; ///< Of these, calls sent through a peer.
    std::uint64_t forPeers = 0; ///< Calls made on behalf of peers.
    std::uint64_t failed = 0; ///< Calls that no peer relayed successfully after a failed direct call, or before a direct call that may still have succeeded.
};

class RelayingTableStore : public TableStore
{
public:
    /// @p relays returns the addresses of peers to try, best first.
    RelayingTableStore(EventLoop &loop, TableStore &direct, PeerMessaging &peers, std::function<std::vector<std::string>()> relays);

    void transact(const Transaction &transaction, Duration timeout, Callback callback) override;
    void read(const RangeRead &range, Duration timeout, Callback callback) override;
    void feed(const FeedRead &feed, Duration timeout, Callback callback) override;

    /// Makes a call on behalf of a peer, without relaying it further.
    void serve(const PeerMessaging::Envelope &peerRequest);
    /// Returns true if the store answered the last direct call, which may have been made for a peer.
    [[nodiscard]] bool isReachable() const;
    /// Returns true if no call has been answered for some time, neither directly nor through a peer. Callers can then fail without another
    /// attempt.
    [[nodiscard]] bool isDown(TimePoint now) const;
    [[nodiscard]] const StoreCallCounters &counters() const;

private:
    using DirectCall = std::function<void(Duration timeout, Callback callback)>;

    void callWithFallback(const DirectCall &direct, const CellWire::StoreCall &message, Duration timeout, const Callback &callback);
    void relayCall(const CellWire::StoreCall &message, Duration timeout, bool mayBeApplied, const Callback &callback);
    void recordDirectResult(const StoreAnswer &answer);
    /// Updates the state that isDown() uses and runs the callback.
    void finishCall(const StoreAnswer &answer, const Callback &callback);

    EventLoop &m_loop;
    TableStore &m_direct;
    PeerMessaging &m_peers;
    std::function<std::vector<std::string>()> m_relayAddresses; ///< Returns the peers to try, best first.
    bool m_reachable = true;
    int m_directFailures = 0; ///< Consecutive direct calls without an answer.
    bool m_outageLogged = false;
    TimePoint m_directRetryAt; ///< Until then, calls are sent to peers first.
    std::map<std::string, TimePoint> m_relayRetryAt; ///< Earliest next attempt for peers that recently failed to relay a call.
    int m_failedCalls = 0; ///< Calls since the last answer that were answered neither directly nor through a peer.
    TimePoint m_failingSince; ///< When the first of them failed.
    StoreCallCounters m_counters;
};

} // namespace KingCupLadder
