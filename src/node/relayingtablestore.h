// The store as this daemon reaches it: directly, or through a peer while the store turns this daemon away.
#pragma once

#include "peermessaging.h"
#include "tablestore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace KingCupLadder {

struct StoreCallCounters {
    std::uint64_t calls = 0; ///< By this daemon, for itself.
    std::uint64_t relayed = 0; ///< Of these, carried out by a peer.
    std::uint64_t forPeers = 0; ///< Carried out for peers.
    std::uint64_t failed = 0; ///< Neither way had an answer.
};

class RelayingTableStore : public TableStore
{
public:
    /// @p helpers gives the addresses of peers to try, best first.
    RelayingTableStore(EventLoop &loop, TableStore &direct, PeerMessaging &peers, std::function<std::vector<std::string>()> helpers);

    void transact(const Transaction &transaction, Duration timeout, Callback callback) override;
    void read(const RangeRead &range, Duration timeout, Callback callback) override;
    void feed(const FeedRead &feed, Duration timeout, Callback callback) override;

    /// Carries out a peer's call, without relaying it further.
    void serve(const PeerMessaging::Envelope &question);
    /// Did the last direct call succeed?
    [[nodiscard]] bool isReachable() const;
    /// Has neither way had an answer for some time? Then a caller need not wait for the next attempt.
    [[nodiscard]] bool isDown(TimePoint now) const;
    [[nodiscard]] const StoreCallCounters &counters() const;

private:
    using DirectCall = std::function<void(Duration timeout, Callback callback)>;

    void run(const DirectCall &direct, const CellWire::StoreCall &wire, Duration timeout, const Callback &callback);
    void relay(const CellWire::StoreCall &wire, Duration timeout, bool mayBeDone, const Callback &callback);
    void noteDirect(const StoreAnswer &answer);
    void report(const StoreAnswer &answer, const Callback &callback);

    EventLoop &m_loop;
    TableStore &m_direct;
    PeerMessaging &m_peers;
    std::function<std::vector<std::string>()> m_helpers;
    bool m_reachable = true;
    int m_directFailures = 0; ///< In a row.
    bool m_lossLogged = false;
    TimePoint m_directAgain; ///< Until then calls go to peers first.
    std::map<std::string, TimePoint> m_helperAgain; ///< Peers that could not help lately.
    int m_failures = 0; ///< Calls without an answer on either way since the last answer.
    TimePoint m_failingSince; ///< When the first of them was sent.
    StoreCallCounters m_counters;
};

} // namespace KingCupLadder
