// Messages of carried calls, and the choice of carriers.
#include "relayingworkergateway.h"

#include <algorithm>
#include <functional>

namespace KingCupLadder {

namespace {

constexpr Duration orderPatience{700}; // The carrier itself gives an order less than half a second.
constexpr Duration holdPatience{800}; // Beyond the wait of a renewal.
constexpr Duration directTerm{3000}; // A worker that a carrier did not reach is called directly for so long.

CellWire::WorkerOrder orderFor(CellWire::WorkerOrder::Kind kind, Epoch epoch, const WorkerId &worker, const std::string &address, WorkerIncarnation life)
{
    CellWire::WorkerOrder wire;
    wire.set_kind(kind);
    wire.set_epoch(epoch.value());
    wire.set_worker(worker.value());
    wire.set_address(address);
    wire.set_life(life.value());
    return wire;
}

/// Sets the fields by which orders and lists name a task.
template<typename Message>
void setTask(Message &wire, const TaskRef &task, RunNumber run)
{
    wire.set_job(task.step.job.value());
    wire.set_occurrence(static_cast<std::uint32_t>(task.step.occurrence));
    wire.set_step(static_cast<std::uint32_t>(task.step.step));
    wire.set_task(static_cast<std::uint32_t>(task.index));
    wire.set_run(run.value());
}

template<typename Message>
TaskRef taskOf(const Message &wire)
{
    return TaskRef{StepRef{JobId(wire.job()), static_cast<int>(wire.occurrence()), static_cast<int>(wire.step())}, static_cast<int>(wire.task())};
}

CellWire::WorkerLists toWire(const HoldReply &view)
{
    CellWire::WorkerLists wire;
    wire.set_life(view.life.value());
    wire.set_clock(view.clock);
    for (const RunningEntry &entry : view.running) {
        CellWire::RunningRow *row = wire.add_running();
        setTask(*row, entry.task, entry.run);
        row->set_checkpoint(entry.checkpoint);
        row->set_percent(entry.percent);
        row->set_load(entry.load);
    }
    for (const EndedEntry &entry : view.ended) {
        CellWire::EndedRow *row = wire.add_ended();
        row->set_number(entry.number.value());
        setTask(*row, entry.task, entry.run);
        row->set_end(static_cast<std::uint32_t>(entry.end));
        row->set_checkpoint(entry.checkpoint);
    }
    return wire;
}

std::optional<HoldReply> fromWire(const CellWire::WorkerLists &wire)
{
    HoldReply view;
    view.life = WorkerIncarnation(wire.life());
    view.clock = wire.clock();
    for (const CellWire::RunningRow &row : wire.running()) {
        view.running.push_back(RunningEntry{taskOf(row), RunNumber(row.run()), row.checkpoint(), row.percent(), row.load()});
    }
    for (const CellWire::EndedRow &row : wire.ended()) {
        if (row.end() > static_cast<std::uint32_t>(RunEnd::GangIncomplete)) {
            return std::nullopt; // From a newer version of the daemon; the worker is called directly next time.
        }
        view.ended.push_back(EndedEntry{EndNumber(row.number()), taskOf(row), RunNumber(row.run()), static_cast<RunEnd>(row.end()), row.checkpoint()});
    }
    return view;
}

OrderAnswer answerOf(const CellWire::WorkerResult *result)
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

void RelayingWorkerGateway::setRelays(const std::vector<CellMember> &carriers)
{
    std::vector<std::string> addresses;
    addresses.reserve(carriers.size());
    for (const CellMember &carrier : carriers) {
        addresses.push_back(carrier.peerAddress);
    }
    const TimePoint now = m_loop.now();
    for (auto entry = m_directUntil.begin(); entry != m_directUntil.end();) {
        entry = entry->second <= now ? m_directUntil.erase(entry) : std::next(entry);
    }
    if (addresses == m_carriers) {
        return;
    }
    m_carriers = std::move(addresses);
    std::vector<Callback> givenUp;
    for (auto open = m_open.begin(); open != m_open.end();) {
        if (std::find(m_carriers.begin(), m_carriers.end(), open->second.carrier) == m_carriers.end()) {
            givenUp.push_back(std::move(open->second.callback));
            open = m_open.erase(open);
        } else {
            ++open;
        }
    }
    for (const Callback &callback : givenUp) {
        callback(nullptr);
    }
}

void RelayingWorkerGateway::abandon()
{
    m_carriers.clear();
    m_open.clear();
    m_directUntil.clear();
}

std::string RelayingWorkerGateway::carrierOf(const WorkerId &worker) const
{
    if (m_carriers.empty() || m_directUntil.count(worker) > 0) {
        return {};
    }
    // The carrier with the highest mixed hash, so that most workers keep theirs when the carriers change.
    const auto weight = [&worker](const std::string &address) { return std::hash<std::string>()(address + "/" + worker.value()); };
    return *std::max_element(m_carriers.begin(), m_carriers.end(), [&weight](const std::string &a, const std::string &b) { return weight(a) < weight(b); });
}

void RelayingWorkerGateway::noteFailure(const WorkerId &worker)
{
    m_directUntil[worker] = m_loop.now() + directTerm;
}

void RelayingWorkerGateway::carry(const std::string &carrier, CellWire::WorkerOrder order, Duration timeout, Callback callback)
{
    ++m_counters.carried;
    const std::uint64_t id = ++m_lastOpen;
    m_open.emplace(id, Open{carrier, std::move(callback)});
    PeerMessaging::Envelope question;
    *question.mutable_worker_order() = std::move(order);
    m_peers.ask(carrier, std::move(question), timeout, [this, id](const PeerMessaging::Envelope *reply) {
        const auto open = m_open.find(id);
        if (open == m_open.end()) {
            return; // Given up when the carrier was replaced.
        }
        const Callback done = std::move(open->second.callback);
        m_open.erase(open);
        done(reply != nullptr && reply->has_worker_result() ? &reply->worker_result() : nullptr);
    });
}

void RelayingWorkerGateway::carryOrder(const std::string &carrier, CellWire::WorkerOrder order, const WorkerId &worker, OrderCallback callback)
{
    carry(carrier, std::move(order), orderPatience, [this, worker, callback = std::move(callback)](const CellWire::WorkerResult *result) {
        const OrderAnswer answer = answerOf(result);
        if (answer.outcome == OrderOutcome::NoAnswer) {
            noteFailure(worker);
        }
        callback(answer);
    });
}

void RelayingWorkerGateway::start(const StartOrder &order, Epoch epoch, OrderCallback callback)
{
    const std::string carrier = carrierOf(order.worker);
    if (carrier.empty()) {
        ++m_counters.direct;
        m_direct.start(order, epoch, std::move(callback));
        return;
    }
    CellWire::WorkerOrder wire = orderFor(CellWire::WorkerOrder::START, epoch, order.worker, order.address, order.life);
    setTask(wire, order.task, order.run);
    wire.set_payload(order.payload);
    wire.set_checkpoint(order.checkpoint);
    wire.set_ticket(order.ticket);
    wire.set_deadline(order.deadline);
    carryOrder(carrier, std::move(wire), order.worker, std::move(callback));
}

void RelayingWorkerGateway::stop(const StopOrder &order, Epoch epoch, OrderCallback callback)
{
    const std::string carrier = carrierOf(order.worker);
    if (carrier.empty()) {
        ++m_counters.direct;
        m_direct.stop(order, epoch, std::move(callback));
        return;
    }
    CellWire::WorkerOrder wire = orderFor(CellWire::WorkerOrder::STOP, epoch, order.worker, order.address, order.life);
    setTask(wire, order.task, order.run);
    carryOrder(carrier, std::move(wire), order.worker, std::move(callback));
}

void RelayingWorkerGateway::hold(const HoldOrder &order, Epoch epoch, HoldCallback callback)
{
    const std::string carrier = carrierOf(order.worker);
    if (carrier.empty()) {
        ++m_counters.direct;
        m_direct.hold(order, epoch, std::move(callback));
        return;
    }
    CellWire::WorkerOrder wire = orderFor(CellWire::WorkerOrder::HOLD, epoch, order.worker, order.address, order.life);
    wire.set_acknowledged(order.acknowledged.value());
    wire.set_deadline(order.deadline);
    wire.set_wait_ms(order.wait.count());
    carry(carrier, std::move(wire), order.wait + holdPatience, [this, order, epoch, callback = std::move(callback)](const CellWire::WorkerResult *result) {
        const auto view = result != nullptr && result->has_lists() ? fromWire(result->lists()) : std::nullopt;
        if (view) {
            callback(view);
            return;
        }
        // The carrier may be the one that is away. Renewing twice is harmless, so the worker itself is asked before it counts as silent.
        noteFailure(order.worker);
        HoldOrder again = order;
        again.wait = Duration(0);
        ++m_counters.direct;
        m_direct.hold(again, epoch, callback);
    });
}

void RelayingWorkerGateway::serve(const PeerMessaging::Envelope &question)
{
    ++m_counters.forPeers;
    const CellWire::WorkerOrder &wire = question.worker_order();
    PeerMessaging::Envelope header;
    header.set_call(question.call());
    header.set_reply_address(question.reply_address());
    const Epoch epoch(wire.epoch());
    const auto answerOrder = [this, header](const OrderAnswer &answer) {
        PeerMessaging::Envelope reply;
        reply.mutable_worker_result()->set_outcome(static_cast<std::uint32_t>(answer.outcome));
        reply.mutable_worker_result()->set_clock(answer.clock);
        m_peers.answer(header, std::move(reply));
    };
    if (wire.kind() == CellWire::WorkerOrder::HOLD) {
        HoldOrder order;
        order.worker = WorkerId(wire.worker());
        order.address = wire.address();
        order.life = WorkerIncarnation(wire.life());
        order.acknowledged = EndNumber(wire.acknowledged());
        order.deadline = wire.deadline();
        order.wait = Duration(wire.wait_ms());
        m_direct.hold(order, epoch, [this, header](const std::optional<HoldReply> &view) {
            PeerMessaging::Envelope reply;
            CellWire::WorkerResult *result = reply.mutable_worker_result();
            if (view) {
                *result->mutable_lists() = toWire(*view);
            }
            m_peers.answer(header, std::move(reply));
        });
    } else if (wire.kind() == CellWire::WorkerOrder::STOP) {
        m_direct.stop(
            StopOrder{WorkerId(wire.worker()), wire.address(), WorkerIncarnation(wire.life()), taskOf(wire), RunNumber(wire.run())}, epoch, answerOrder);
    } else {
        StartOrder order;
        order.worker = WorkerId(wire.worker());
        order.address = wire.address();
        order.life = WorkerIncarnation(wire.life());
        order.task = taskOf(wire);
        order.run = RunNumber(wire.run());
        order.payload = wire.payload();
        order.checkpoint = wire.checkpoint();
        order.ticket = wire.ticket();
        order.deadline = wire.deadline();
        m_direct.start(order, epoch, answerOrder);
    }
}

const WorkerCallCounters &RelayingWorkerGateway::counters() const
{
    return m_counters;
}

} // namespace KingCupLadder
