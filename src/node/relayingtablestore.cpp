// Encoding of relayed store calls, and fallback between the direct call and relays.
#include "relayingtablestore.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration directRetryInterval{400}; // After a failed direct call.
constexpr Duration relayRetryInterval{400}; // After a peer failed to relay a call.
constexpr Duration relayTimeoutMargin{200}; // Added to the relay's own time-out.
// Minimum time for a second attempt. A relayed call gets at least this much time, even beyond the caller's time-out, and a direct call is
// made after a failed relayed one only if this much time remains.
constexpr Duration minAttemptTimeout{250};
constexpr int failuresUntilDown = 3;
// The store counts as down only this long after the first failure. A store that refuses calls immediately would otherwise count as down
// within milliseconds; if calls get no answer, each failure takes a full time-out anyway.
constexpr Duration minOutageDuration{250};
constexpr Duration maxAttemptTimeout{700}; // A healthy store answers within 20 ms, a slow one within 400 ms.

StoreAnswer decodeReply(const CellWire::StoreReply &reply)
{
    StoreAnswer answer;
    // Values that only a newer version of the daemon defines are treated as HistoryTruncated.
    answer.outcome = static_cast<StoreOutcome>(std::min(reply.outcome(), static_cast<std::uint32_t>(StoreOutcome::HistoryTruncated)));
    answer.version = RowVersion(reply.version());
    answer.truncated = reply.truncated();
    for (const CellWire::Row &row : reply.rows()) {
        answer.rows.push_back(fromWire(row));
    }
    return answer;
}

CellWire::StoreReply encodeReply(const StoreAnswer &answer)
{
    CellWire::StoreReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(answer.outcome));
    reply.set_version(answer.version.value());
    reply.set_truncated(answer.truncated);
    for (const TableRow &row : answer.rows) {
        *reply.add_rows() = toWire(row);
    }
    return reply;
}

bool isAnswer(StoreOutcome outcome)
{
    return outcome == StoreOutcome::Done || outcome == StoreOutcome::Conflict || outcome == StoreOutcome::HistoryTruncated;
}

} // namespace

RelayingTableStore::RelayingTableStore(EventLoop &loop, TableStore &direct, PeerMessaging &peers, std::function<std::vector<std::string>()> relays)
    : m_loop(loop), m_direct(direct), m_peers(peers), m_relayAddresses(std::move(relays))
{
}

void RelayingTableStore::transact(const Transaction &transaction, Duration timeout, Callback callback)
{
    CellWire::StoreCall message;
    message.set_kind(CellWire::StoreCall::TRANSACT);
    for (const RowCondition &condition : transaction.conditions) {
        CellWire::RowCondition *added = message.add_conditions();
        *added->mutable_key() = toWire(condition.key);
        added->set_version(condition.version.value());
    }
    for (const TableWrite &write : transaction.writes) {
        *message.add_writes() = toWire(TableRow{write.key, write.value, {}, false});
    }
    for (const RowKey &removal : transaction.removals) {
        *message.add_removals() = toWire(removal);
    }
    callWithFallback([this, transaction](Duration attemptTimeout, Callback done) { m_direct.transact(transaction, attemptTimeout, std::move(done)); },
                     message,
                     timeout,
                     callback);
}

void RelayingTableStore::read(const RangeRead &range, Duration timeout, Callback callback)
{
    CellWire::StoreCall message;
    message.set_kind(CellWire::StoreCall::READ);
    *message.mutable_range_start() = toWire(RowKey{range.table, range.partition, range.from});
    message.set_range_end(range.end);
    message.set_limit(static_cast<std::uint32_t>(range.limit));
    callWithFallback(
        [this, range](Duration attemptTimeout, Callback done) { m_direct.read(range, attemptTimeout, std::move(done)); }, message, timeout, callback);
}

void RelayingTableStore::feed(const FeedRead &feed, Duration timeout, Callback callback)
{
    CellWire::StoreCall message;
    message.set_kind(CellWire::StoreCall::FEED);
    *message.mutable_range_start() = toWire(RowKey{feed.table, {}, {}});
    message.set_after_version(feed.after.value());
    message.set_wait_ms(feed.wait.count());
    callWithFallback(
        [this, feed](Duration attemptTimeout, Callback done) { m_direct.feed(feed, attemptTimeout, std::move(done)); }, message, timeout, callback);
}

void RelayingTableStore::recordDirectResult(const StoreAnswer &answer)
{
    const bool reachable = isAnswer(answer.outcome);
    m_directFailures = reachable ? 0 : m_directFailures + 1;
    // Single lost answers are common while the platform is degraded; only a series of failures and its end are logged.
    if (m_directFailures == failuresUntilDown && !m_outageLogged) {
        m_outageLogged = true;
        logLine(LogComponent::Platform, LogLevel::Warning, "the store does not answer this daemon");
    } else if (reachable && m_outageLogged) {
        m_outageLogged = false;
        logLine(LogComponent::Platform, LogLevel::Info, "the store answers again");
    }
    m_reachable = reachable;
    m_directRetryAt = reachable ? TimePoint() : m_loop.now() + directRetryInterval;
}

void RelayingTableStore::finishCall(const StoreAnswer &answer, const Callback &callback)
{
    if (isAnswer(answer.outcome)) {
        m_failedCalls = 0;
    } else if (m_failedCalls++ == 0) {
        m_failingSince = m_loop.now();
    }
    callback(answer);
}

bool RelayingTableStore::isDown(TimePoint now) const
{
    return m_failedCalls >= failuresUntilDown && now - m_failingSince >= minOutageDuration;
}

void RelayingTableStore::callWithFallback(const DirectCall &direct, const CellWire::StoreCall &message, Duration timeout, const Callback &originalCallback)
{
    ++m_counters.calls;
    const Callback callback = [this, originalCallback](const StoreAnswer &answer) { finishCall(answer, originalCallback); };
    const TimePoint now = m_loop.now();
    const TimePoint deadline = now + timeout;
    const Duration wait(message.wait_ms());
    // For directRetryInterval after a failed direct call, peers are tried first.
    if (now < m_directRetryAt) {
        relayCall(message, std::max(timeout, minAttemptTimeout), false, [this, direct, deadline, callback](const StoreAnswer &answer) {
            const Duration remaining = deadline - m_loop.now();
            if (isAnswer(answer.outcome) || remaining < minAttemptTimeout) {
                callback(answer);
                return;
            }
            // The relayed call may still take effect, even if the direct one is refused.
            const bool mayBeApplied = answer.outcome == StoreOutcome::Unknown;
            direct(remaining, [this, callback, mayBeApplied](const StoreAnswer &directAnswer) {
                recordDirectResult(directAnswer);
                StoreAnswer result = directAnswer;
                result.outcome = directAnswer.outcome == StoreOutcome::NotApplied && mayBeApplied ? StoreOutcome::Unknown : directAnswer.outcome;
                callback(result);
            });
        });
        return;
    }
    direct(std::min(timeout, maxAttemptTimeout + wait), [this, message, deadline, callback](const StoreAnswer &answer) {
        recordDirectResult(answer);
        if (isAnswer(answer.outcome)) {
            callback(answer);
            return;
        }
        relayCall(message, std::max(deadline - m_loop.now(), minAttemptTimeout), answer.outcome == StoreOutcome::Unknown, callback);
    });
}

void RelayingTableStore::relayCall(const CellWire::StoreCall &message, Duration timeout, bool mayBeApplied, const Callback &callback)
{
    const TimePoint now = m_loop.now();
    std::string relay;
    for (const std::string &address : m_relayAddresses()) {
        if (m_relayRetryAt[address] <= now) {
            relay = address;
            break;
        }
    }
    if (relay.empty()) {
        ++m_counters.failed;
        StoreAnswer noAnswer;
        noAnswer.outcome = mayBeApplied ? StoreOutcome::Unknown : StoreOutcome::NotApplied;
        m_loop.defer([callback, noAnswer] { callback(noAnswer); });
        return;
    }
    ++m_counters.relayed;
    PeerMessaging::Envelope peerRequest;
    *peerRequest.mutable_store_call() = message;
    peerRequest.mutable_store_call()->set_timeout_ms(std::min(timeout, maxAttemptTimeout + Duration(message.wait_ms())).count());
    const Duration replyTimeout = std::min(timeout, maxAttemptTimeout + Duration(message.wait_ms()) + relayTimeoutMargin);
    m_peers.sendRequest(relay, std::move(peerRequest), replyTimeout, [this, relay, mayBeApplied, callback](const PeerMessaging::Envelope *reply) {
        StoreAnswer answer;
        if (reply != nullptr && reply->has_store_reply()) {
            answer = decodeReply(reply->store_reply());
        }
        if (!isAnswer(answer.outcome)) {
            ++m_counters.failed;
            m_relayRetryAt[relay] = m_loop.now() + relayRetryInterval;
            answer.outcome = mayBeApplied ? StoreOutcome::Unknown : answer.outcome;
        }
        callback(answer);
    });
}

void RelayingTableStore::serve(const PeerMessaging::Envelope &peerRequest)
{
    ++m_counters.forPeers;
    const CellWire::StoreCall &message = peerRequest.store_call();
    const Duration timeout(message.timeout_ms());
    const PeerMessaging::ReturnAddress returnAddress = PeerMessaging::returnAddressOf(peerRequest);
    const auto done = [this, returnAddress](const StoreAnswer &answer) {
        recordDirectResult(answer);
        PeerMessaging::Envelope reply;
        *reply.mutable_store_reply() = encodeReply(answer);
        m_peers.sendReply(returnAddress, std::move(reply));
    };
    const RowKey start = fromWire(message.range_start());
    if (message.kind() == CellWire::StoreCall::READ) {
        m_direct.read(RangeRead{start.table, start.partition, start.key, message.range_end(), static_cast<int>(message.limit())}, timeout, done);
    } else if (message.kind() == CellWire::StoreCall::FEED) {
        m_direct.feed(FeedRead{start.table, RowVersion(message.after_version()), Duration(message.wait_ms())}, timeout, done);
    } else {
        Transaction transaction;
        for (const CellWire::RowCondition &condition : message.conditions()) {
            transaction.conditions.push_back(RowCondition{fromWire(condition.key()), RowVersion(condition.version())});
        }
        for (const CellWire::Row &row : message.writes()) {
            transaction.writes.push_back(TableWrite{fromWire(row.key()), row.value()});
        }
        for (const CellWire::RowKey &key : message.removals()) {
            transaction.removals.push_back(fromWire(key));
        }
        m_direct.transact(transaction, timeout, done);
    }
}

bool RelayingTableStore::isReachable() const
{
    return m_reachable;
}

const StoreCallCounters &RelayingTableStore::counters() const
{
    return m_counters;
}

} // namespace KingCupLadder
