// Relaying of store calls.
#include "relayingtablestore.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration directPause{400}; // After a failure of the direct way.
constexpr Duration helperPause{400}; // After a failure of a peer.
constexpr Duration helperSlack{200}; // Of a peer's answer beyond its own time-out.
constexpr Duration shortestTry{250}; // Of one way, so that time is left for the other.
constexpr int failuresWhenDown = 3;
constexpr Duration downAfter{250}; // Since the first failure, each of which takes a time-out if the store is silent.
constexpr Duration directTry{700}; // A healthy store answers within 20 ms, a slow one within 400.

StoreAnswer decodeReply(const CellWire::StoreReply &reply)
{
    StoreAnswer answer;
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

RelayingTableStore::RelayingTableStore(EventLoop &loop, TableStore &direct, PeerMessaging &peers, std::function<std::vector<std::string>()> helpers)
    : m_loop(loop), m_direct(direct), m_peers(peers), m_helpers(std::move(helpers))
{
}

void RelayingTableStore::transact(const Transaction &transaction, Duration timeout, Callback callback)
{
    CellWire::StoreCall wire;
    wire.set_kind(CellWire::StoreCall::TRANSACT);
    for (const RowCondition &condition : transaction.conditions) {
        CellWire::RowCondition *added = wire.add_conditions();
        *added->mutable_key() = toWire(condition.key);
        added->set_version(condition.version.value());
    }
    for (const TableWrite &write : transaction.writes) {
        *wire.add_writes() = toWire(TableRow{write.key, write.value, {}, false});
    }
    for (const RowKey &removal : transaction.removals) {
        *wire.add_removals() = toWire(removal);
    }
    run([this, transaction](Duration limit, Callback done) { m_direct.transact(transaction, limit, std::move(done)); }, wire, timeout, callback);
}

void RelayingTableStore::read(const RangeRead &range, Duration timeout, Callback callback)
{
    CellWire::StoreCall wire;
    wire.set_kind(CellWire::StoreCall::READ);
    *wire.mutable_range_start() = toWire(RowKey{range.table, range.part, range.from});
    wire.set_range_end(range.end);
    wire.set_limit(static_cast<std::uint32_t>(range.limit));
    run([this, range](Duration limit, Callback done) { m_direct.read(range, limit, std::move(done)); }, wire, timeout, callback);
}

void RelayingTableStore::feed(const FeedRead &feed, Duration timeout, Callback callback)
{
    CellWire::StoreCall wire;
    wire.set_kind(CellWire::StoreCall::FEED);
    *wire.mutable_range_start() = toWire(RowKey{feed.table, {}, {}});
    wire.set_after_version(feed.after.value());
    wire.set_wait_ms(feed.wait.count());
    run([this, feed](Duration limit, Callback done) { m_direct.feed(feed, limit, std::move(done)); }, wire, timeout, callback);
}

void RelayingTableStore::noteDirect(const StoreAnswer &answer)
{
    const bool reachable = isAnswer(answer.outcome);
    m_directFailures = reachable ? 0 : m_directFailures + 1;
    // Single lost answers are common on bad days; only a series of them, and its end, is worth a line.
    if (m_directFailures == failuresWhenDown && !m_lossLogged) {
        m_lossLogged = true;
        logLine(LogPart::Platform, LogLevel::Warning, "the store does not answer this daemon");
    } else if (reachable && m_lossLogged) {
        m_lossLogged = false;
        logLine(LogPart::Platform, LogLevel::Info, "the store answers again");
    }
    m_reachable = reachable;
    m_directAgain = reachable ? TimePoint() : m_loop.now() + directPause;
}

void RelayingTableStore::report(const StoreAnswer &answer, const Callback &callback)
{
    if (isAnswer(answer.outcome)) {
        m_failures = 0;
    } else if (m_failures++ == 0) {
        m_failingSince = m_loop.now();
    }
    callback(answer);
}

bool RelayingTableStore::isDown(TimePoint now) const
{
    return m_failures >= failuresWhenDown && now - m_failingSince >= downAfter;
}

void RelayingTableStore::run(const DirectCall &direct, const CellWire::StoreCall &wire, Duration timeout, const Callback &caller)
{
    ++m_counters.calls;
    const Callback callback = [this, caller](const StoreAnswer &answer) { report(answer, caller); };
    const TimePoint now = m_loop.now();
    const TimePoint deadline = now + timeout;
    const Duration wait(wire.wait_ms());
    if (now < m_directAgain) {
        relay(wire, std::max(timeout, shortestTry), false, [this, direct, deadline, callback](const StoreAnswer &answer) {
            const Duration left = deadline - m_loop.now();
            if (isAnswer(answer.outcome) || left < shortestTry) {
                callback(answer);
                return;
            }
            const bool mayBeDone = answer.outcome == StoreOutcome::Unknown;
            direct(left, [this, callback, mayBeDone](const StoreAnswer &second) {
                noteDirect(second);
                StoreAnswer result = second;
                result.outcome = second.outcome == StoreOutcome::NotApplied && mayBeDone ? StoreOutcome::Unknown : second.outcome;
                callback(result);
            });
        });
        return;
    }
    direct(std::min(timeout, directTry + wait), [this, wire, deadline, callback](const StoreAnswer &answer) {
        noteDirect(answer);
        if (isAnswer(answer.outcome)) {
            callback(answer);
            return;
        }
        relay(wire, std::max(deadline - m_loop.now(), shortestTry), answer.outcome == StoreOutcome::Unknown, callback);
    });
}

void RelayingTableStore::relay(const CellWire::StoreCall &wire, Duration timeout, bool mayBeDone, const Callback &callback)
{
    const TimePoint now = m_loop.now();
    std::string helper;
    for (const std::string &address : m_helpers()) {
        if (m_helperAgain[address] <= now) {
            helper = address;
            break;
        }
    }
    if (helper.empty()) {
        ++m_counters.failed;
        StoreAnswer none;
        none.outcome = mayBeDone ? StoreOutcome::Unknown : StoreOutcome::NotApplied;
        m_loop.defer([callback, none] { callback(none); });
        return;
    }
    ++m_counters.relayed;
    PeerMessaging::Envelope question;
    *question.mutable_store_call() = wire;
    question.mutable_store_call()->set_timeout_ms(std::min(timeout, directTry + Duration(wire.wait_ms())).count());
    const Duration patience = std::min(timeout, directTry + Duration(wire.wait_ms()) + helperSlack);
    m_peers.ask(helper, std::move(question), patience, [this, helper, mayBeDone, callback](const PeerMessaging::Envelope *reply) {
        StoreAnswer answer;
        if (reply != nullptr && reply->has_store_reply()) {
            answer = decodeReply(reply->store_reply());
        }
        if (!isAnswer(answer.outcome)) {
            ++m_counters.failed;
            m_helperAgain[helper] = m_loop.now() + helperPause;
            answer.outcome = mayBeDone ? StoreOutcome::Unknown : answer.outcome;
        }
        callback(answer);
    });
}

void RelayingTableStore::serve(const PeerMessaging::Envelope &question)
{
    ++m_counters.forPeers;
    const CellWire::StoreCall &wire = question.store_call();
    const Duration timeout(wire.timeout_ms());
    PeerMessaging::Envelope header;
    header.set_call(question.call());
    header.set_reply_address(question.reply_address());
    const auto done = [this, header](const StoreAnswer &answer) {
        noteDirect(answer);
        PeerMessaging::Envelope reply;
        *reply.mutable_store_reply() = encodeReply(answer);
        m_peers.answer(header, std::move(reply));
    };
    const RowKey start = fromWire(wire.range_start());
    if (wire.kind() == CellWire::StoreCall::READ) {
        m_direct.read(RangeRead{start.table, start.part, start.key, wire.range_end(), static_cast<int>(wire.limit())}, timeout, done);
    } else if (wire.kind() == CellWire::StoreCall::FEED) {
        m_direct.feed(FeedRead{start.table, RowVersion(wire.after_version()), Duration(wire.wait_ms())}, timeout, done);
    } else {
        Transaction transaction;
        for (const CellWire::RowCondition &condition : wire.conditions()) {
            transaction.conditions.push_back(RowCondition{fromWire(condition.key()), RowVersion(condition.version())});
        }
        for (const CellWire::Row &row : wire.writes()) {
            transaction.writes.push_back(TableWrite{fromWire(row.key()), row.value()});
        }
        for (const CellWire::RowKey &key : wire.removals()) {
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
