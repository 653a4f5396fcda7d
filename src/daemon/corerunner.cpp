// Passes events to the core and executes its commands.
#include "corerunner.h"
#include "core/overloaded.h"

namespace KingCupLadder {

namespace {

constexpr Duration tickInterval{10}; // The core requires at most 20 ms between ticks.

} // namespace

CoreRunner::CoreRunner(EventLoop &loop, std::unique_ptr<DaemonCore> core) : m_loop(loop), m_core(std::move(core)) { }

CoreRunner::~CoreRunner() = default;

void CoreRunner::start(CoreExecutors executors)
{
    m_executors = std::move(executors);
    m_tickTimer = EventWatch::repeating(m_loop, tickInterval, [this] { tick(); });
}

void CoreRunner::onStoreReply(const StoreReply &reply)
{
    m_core->onStoreReply(reply, now());
    scheduleTick();
}

void CoreRunner::onVmList(const VmListReply &reply)
{
    m_core->onVmList(reply, now());
    scheduleTick();
}

void CoreRunner::onWorkerReply(const WorkerReply &reply)
{
    m_core->onWorkerReply(reply, now());
    scheduleTick();
}

void CoreRunner::onPeerMessage(const DaemonId &from, const PeerMessage &message)
{
    m_core->onPeerMessage(from, message, now());
    scheduleTick();
}

OpId CoreRunner::call(const Operation &operation, AnswerHandler handler)
{
    const OpId op = operation(*m_core, now());
    m_answerHandlers[op] = std::move(handler);
    scheduleTick();
    return op;
}

void CoreRunner::cancelGrantRequest(OpId op)
{
    m_answerHandlers.erase(op);
    m_core->cancelGrantRequest(op, now());
    scheduleTick();
}

void CoreRunner::releaseGrant(const Grant &grant, GrantOutcome grantOutcome)
{
    m_core->releaseGrant(grant, grantOutcome, now());
    scheduleTick();
}

DaemonCore &CoreRunner::core()
{
    return *m_core;
}

TimePoint CoreRunner::now() const
{
    return m_loop.now();
}

std::size_t CoreRunner::pendingCalls() const
{
    return m_answerHandlers.size();
}

void CoreRunner::scheduleTick()
{
    if (m_tickScheduled) {
        return;
    }
    m_tickScheduled = true;
    m_loop.defer([this] {
        m_tickScheduled = false;
        tick();
    });
}

void CoreRunner::tick()
{
    m_core->tick(now());
    for (const Command &command : m_core->takeCommands()) {
        execute(command);
    }
}

void CoreRunner::execute(const Command &command)
{
    std::visit(Overloaded{
                   [this](const StoreTransaction &transaction) { m_executors.transact(transaction); },
                   [this](const StoreScan &scan) { m_executors.scan(scan); },
                   [this](const StoreRead &read) { m_executors.read(read); },
                   [this](const VmListRead &read) { m_executors.readVms(read); },
                   [this](const SyncWorker &sync) { m_executors.sync(sync); },
                   [this](const SendPeerMessage &message) { m_executors.sendPeer(message); },
                   [this](const CallerAnswer &reply) { deliverAnswer(reply); },
               },
               command);
}

void CoreRunner::deliverAnswer(const CallerAnswer &answer)
{
    const auto found = m_answerHandlers.find(answer.op);
    if (found == m_answerHandlers.end()) {
        return; // cancelGrantRequest() has removed the handler.
    }
    const AnswerHandler handler = std::move(found->second);
    m_answerHandlers.erase(found);
    handler(answer);
}

} // namespace KingCupLadder
