// Encoding of relayed calls and choice of the relay for each worker.
#include "relayingworkergateway.h"

#include "daemon/log.h"

#include <algorithm>
#include <functional>

namespace KingCupLadder {

namespace {

constexpr Duration relayedOrderTimeout{700}; // The relay's own time-out for an order is less than half a second.
constexpr Duration relayedHoldTimeoutMargin{800}; // Added to the wait time of a lease renewal; exceeds the relay's own margin of 500 ms.
constexpr Duration directCallPeriod{3000}; // How long a worker that a relay did not reach is called directly.

CellWire::WorkerOrder
makeOrder(CellWire::WorkerOrder::Kind kind, Epoch epoch, const WorkerId &worker, const std::string &address, WorkerIncarnation incarnation)
{
    CellWire::WorkerOrder message;
    message.set_kind(kind);
    message.set_epoch(epoch.value());
    message.set_worker(worker.value());
    message.set_address(address);
    message.set_life(incarnation.value());
    return message;
}

/// Sets the fields that identify a task in orders and lists.
template<typename Message>
void setTask(Message &message, const TaskRef &task, RunNumber run)
{
    message.set_job(task.step.job.value());
    message.set_occurrence(static_cast<std::uint32_t>(task.step.occurrence));
    message.set_step(static_cast<std::uint32_t>(task.step.step));
    message.set_task(static_cast<std::uint32_t>(task.index));
    message.set_run(run.value());
}

template<typename Message>
TaskRef taskFromWire(const Message &message)
{
    return TaskRef{StepRef{JobId(message.job()), static_cast<int>(message.occurrence()), static_cast<int>(message.step())}, static_cast<int>(message.task())};
}

CellWire::WorkerLists toWire(const HoldReply &holdReply)
{
    CellWire::WorkerLists message;
    message.set_life(holdReply.incarnation.value());
    message.set_clock(holdReply.clock);
    for (const RunningEntry &entry : holdReply.running) {
        CellWire::RunningRow *row = message.add_running();
        setTask(*row, entry.task, entry.run);
        row->set_checkpoint(entry.checkpoint);
        row->set_percent(entry.percent);
        row->set_load(entry.load);
    }
    for (const EndedEntry &entry : holdReply.ended) {
        CellWire::EndedRow *row = message.add_ended();
        row->set_number(entry.number.value());
        setTask(*row, entry.task, entry.run);
        row->set_end(static_cast<std::uint32_t>(entry.end));
        row->set_checkpoint(entry.checkpoint);
    }
    message.set_may_omit_ends(holdReply.mayOmitEnds);
    return message;
}

std::optional<HoldReply> fromWire(const CellWire::WorkerLists &message)
{
    HoldReply holdReply;
    holdReply.incarnation = WorkerIncarnation(message.life());
    holdReply.clock = message.clock();
    for (const CellWire::RunningRow &row : message.running()) {
        holdReply.running.push_back(RunningEntry{taskFromWire(row), RunNumber(row.run()), row.checkpoint(), row.percent(), row.load()});
    }
    for (const CellWire::EndedRow &row : message.ended()) {
        if (row.end() > static_cast<std::uint32_t>(RunEnd::GangIncomplete)) {
            return std::nullopt; // Sent by a newer version of the daemon; the worker is called directly for some time.
        }
        holdReply.ended.push_back(
            EndedEntry{EndNumber(row.number()), taskFromWire(row), RunNumber(row.run()), static_cast<RunEnd>(row.end()), row.checkpoint()});
    }
    // A relay that runs an earlier version of the daemon does not set the field.
    holdReply.mayOmitEnds = message.may_omit_ends() || holdReply.ended.size() >= maxEndsPerReply;
    return holdReply;
}

/// Whether the result is about the worker to which the order was sent. Earlier versions do not name the worker.
bool isAbout(const CellWire::WorkerResult &result, const std::string &worker)
{
    return result.worker().empty() || result.worker() == worker;
}

/// A missing result or an outcome of a newer version of the daemon yields OrderOutcome::NoAnswer, since the order may have taken effect.
OrderAnswer decodeOrderResult(const CellWire::WorkerResult *result)
{
    OrderAnswer answer;
    if (result != nullptr && result->outcome() <= static_cast<std::uint32_t>(OrderOutcome::NoAnswer)) {
        answer.outcome = static_cast<OrderOutcome>(result->outcome());
        answer.clock = result->clock();
    }
    return answer;
}

} // namespace

RelayingWorkerGateway::RelayingWorkerGateway(EventLoop &loop, WorkerGateway &direct, PeerMessaging &peers) : m_loop(loop), m_direct(direct), m_peers(peers) { }

void RelayingWorkerGateway::setRelays(const std::vector<CellMember> &relays)
{
    std::vector<std::string> addresses;
    addresses.reserve(relays.size());
    for (const CellMember &relay : relays) {
        addresses.push_back(relay.peerAddress);
    }
    const TimePoint now = m_loop.now();
    for (auto entry = m_directUntil.begin(); entry != m_directUntil.end();) {
        entry = entry->second <= now ? m_directUntil.erase(entry) : std::next(entry);
    }
    if (addresses == m_relays) {
        return;
    }
    m_relays = std::move(addresses);
    std::vector<Callback> unanswered;
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (std::find(m_relays.begin(), m_relays.end(), pending->second.relay) == m_relays.end()) {
            unanswered.push_back(std::move(pending->second.callback));
            pending = m_pending.erase(pending);
        } else {
            ++pending;
        }
    }
    // The callbacks run last, since they may make new calls.
    for (const Callback &callback : unanswered) {
        callback(nullptr);
    }
}

void RelayingWorkerGateway::dropPendingCalls()
{
    m_relays.clear();
    m_pending.clear();
    m_directUntil.clear();
}

std::string RelayingWorkerGateway::relayFor(const WorkerId &worker) const
{
    if (m_relays.empty() || m_directUntil.count(worker) > 0) {
        return {};
    }
    // Rendezvous hashing: the relay with the highest hash is used, so most workers keep their relay when the set of relays changes.
    const auto weight = [&worker](const std::string &address) { return std::hash<std::string>()(address + "/" + worker.value()); };
    return *std::max_element(m_relays.begin(), m_relays.end(), [&weight](const std::string &a, const std::string &b) { return weight(a) < weight(b); });
}

void RelayingWorkerGateway::recordRelayFailure(const WorkerId &worker)
{
    m_directUntil[worker] = m_loop.now() + directCallPeriod;
}

void RelayingWorkerGateway::relayCall(const std::string &relay, CellWire::WorkerOrder order, Duration timeout, Callback callback)
{
    ++m_counters.relayed;
    const std::uint64_t id = ++m_lastCallId;
    m_pending.emplace(id, PendingCall{relay, std::move(callback)});
    const std::string worker = order.worker();
    PeerMessaging::Envelope peerRequest;
    *peerRequest.mutable_worker_order() = std::move(order);
    m_peers.sendRequest(relay, std::move(peerRequest), timeout, [this, id, worker](const PeerMessaging::Envelope *reply) {
        const auto pending = m_pending.find(id);
        if (pending == m_pending.end()) {
            return; // Already ended because the relay was replaced.
        }
        const Callback onResult = std::move(pending->second.callback);
        m_pending.erase(pending);
        const bool isAnswered = reply != nullptr && reply->has_worker_result();
        const bool isUsable = isAnswered && isAbout(reply->worker_result(), worker);
        if (isAnswered && !isUsable) {
            logRateLimited(LogComponent::Workers,
                           LogLevel::Warning,
                           "result of another worker",
                           "dropped a result about worker " + reply->worker_result().worker() + " for an order to worker " + worker);
        }
        onResult(isUsable ? &reply->worker_result() : nullptr);
    });
}

void RelayingWorkerGateway::relayOrder(const std::string &relay, CellWire::WorkerOrder order, const WorkerId &worker, OrderCallback callback)
{
    relayCall(relay, std::move(order), relayedOrderTimeout, [this, worker, callback = std::move(callback)](const CellWire::WorkerResult *result) {
        const OrderAnswer answer = decodeOrderResult(result);
        if (answer.outcome == OrderOutcome::NoAnswer) {
            recordRelayFailure(worker);
        }
        callback(answer);
    });
}

void RelayingWorkerGateway::start(const StartOrder &order, Epoch epoch, OrderCallback callback)
{
    const std::string relay = relayFor(order.worker);
    if (relay.empty()) {
        ++m_counters.direct;
        m_direct.start(order, epoch, std::move(callback));
        return;
    }
    CellWire::WorkerOrder message = makeOrder(CellWire::WorkerOrder::START, epoch, order.worker, order.address, order.incarnation);
    setTask(message, order.task, order.run);
    message.set_payload(order.payload);
    message.set_checkpoint(order.checkpoint);
    message.set_ticket(order.ticket);
    message.set_deadline(order.deadline);
    relayOrder(relay, std::move(message), order.worker, std::move(callback));
}

void RelayingWorkerGateway::stop(const StopOrder &order, Epoch epoch, OrderCallback callback)
{
    const std::string relay = relayFor(order.worker);
    if (relay.empty()) {
        ++m_counters.direct;
        m_direct.stop(order, epoch, std::move(callback));
        return;
    }
    CellWire::WorkerOrder message = makeOrder(CellWire::WorkerOrder::STOP, epoch, order.worker, order.address, order.incarnation);
    setTask(message, order.task, order.run);
    relayOrder(relay, std::move(message), order.worker, std::move(callback));
}

void RelayingWorkerGateway::hold(const HoldOrder &order, Epoch epoch, HoldCallback callback)
{
    const std::string relay = relayFor(order.worker);
    if (relay.empty()) {
        ++m_counters.direct;
        holdDirectly(order, epoch, std::move(callback));
        return;
    }
    CellWire::WorkerOrder message = makeOrder(CellWire::WorkerOrder::HOLD, epoch, order.worker, order.address, order.incarnation);
    message.set_acknowledged(order.acknowledged.value());
    message.set_deadline(order.deadline);
    message.set_wait_ms(order.wait.count());
    relayCall(relay,
              std::move(message),
              order.wait + relayedHoldTimeoutMargin,
              [this, order, epoch, callback = std::move(callback)](const CellWire::WorkerResult *result) {
                  const auto holdReply = result != nullptr && result->has_lists() ? fromWire(result->lists()) : std::nullopt;
                  if (holdReply) {
                      callback(holdReply);
                      return;
                  }
                  // The relay may be the one that failed. Renewing twice is harmless, so the worker is called directly before it is treated as silent.
                  recordRelayFailure(order.worker);
                  HoldOrder directOrder = order;
                  directOrder.wait = Duration(0); // No long poll, so that the reply comes at once.
                  ++m_counters.direct;
                  holdDirectly(directOrder, epoch, callback);
              });
}

void RelayingWorkerGateway::holdDirectly(const HoldOrder &order, Epoch epoch, HoldCallback callback)
{
    m_direct.hold(m_acknowledgementGuard.guard(order, m_loop.now()),
                  epoch,
                  [this, worker = order.worker, callback = std::move(callback)](const std::optional<HoldReply> &holdReply) {
                      if (holdReply) {
                          m_acknowledgementGuard.confirm(worker, holdReply->incarnation, m_loop.now());
                      } else {
                          m_acknowledgementGuard.revoke(worker);
                      }
                      callback(holdReply);
                  });
}

void RelayingWorkerGateway::serve(const PeerMessaging::Envelope &peerRequest)
{
    ++m_counters.forPeers;
    const CellWire::WorkerOrder &message = peerRequest.worker_order();
    const PeerMessaging::ReturnAddress returnAddress = PeerMessaging::returnAddressOf(peerRequest);
    const Epoch epoch(message.epoch());
    const auto answerOrder = [this, returnAddress, worker = message.worker()](const OrderAnswer &answer) {
        PeerMessaging::Envelope reply;
        reply.mutable_worker_result()->set_worker(worker);
        reply.mutable_worker_result()->set_outcome(static_cast<std::uint32_t>(answer.outcome));
        reply.mutable_worker_result()->set_clock(answer.clock);
        m_peers.sendReply(returnAddress, std::move(reply));
    };
    if (message.kind() == CellWire::WorkerOrder::HOLD) {
        HoldOrder order;
        order.worker = WorkerId(message.worker());
        order.address = message.address();
        order.incarnation = WorkerIncarnation(message.life());
        order.acknowledged = EndNumber(message.acknowledged());
        order.deadline = message.deadline();
        order.wait = Duration(message.wait_ms());
        holdDirectly(order, epoch, [this, returnAddress, worker = order.worker](const std::optional<HoldReply> &holdReply) {
            PeerMessaging::Envelope reply;
            CellWire::WorkerResult *result = reply.mutable_worker_result();
            result->set_worker(worker.value());
            if (holdReply) {
                *result->mutable_lists() = toWire(*holdReply);
            }
            m_peers.sendReply(returnAddress, std::move(reply));
        });
    } else if (message.kind() == CellWire::WorkerOrder::STOP) {
        m_direct.stop(
            StopOrder{WorkerId(message.worker()), message.address(), WorkerIncarnation(message.life()), taskFromWire(message), RunNumber(message.run())},
            epoch,
            answerOrder);
    } else {
        StartOrder order;
        order.worker = WorkerId(message.worker());
        order.address = message.address();
        order.incarnation = WorkerIncarnation(message.life());
        order.task = taskFromWire(message);
        order.run = RunNumber(message.run());
        order.payload = message.payload();
        order.checkpoint = message.checkpoint();
        order.ticket = message.ticket();
        order.deadline = message.deadline();
        m_direct.start(order, epoch, answerOrder);
    }
}

const WorkerCallCounters &RelayingWorkerGateway::counters() const
{
    return m_counters;
}

} // namespace KingCupLadder
