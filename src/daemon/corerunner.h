// Drives the decision core: passes events to it with the current time, executes the commands that it returns, and delivers
// the answers to callers' operations to the waiting callbacks.
#pragma once

#include "core/daemoncore.h"
#include "eventloop.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace KingCupLadder {

/// Functions that execute the core's commands, one per type of command.
struct CoreExecutors {
    std::function<void(const StoreTransaction &)> transact;
    std::function<void(const StoreScan &)> scan;
    std::function<void(const StoreRead &)> read;
    std::function<void(const VmListRead &)> readVms;
    std::function<void(const SyncWorker &)> sync;
    std::function<void(const SendPeerMessage &)> sendPeer;
};

class CoreRunner
{
public:
    using AnswerHandler = std::function<void(const CallerAnswer &)>;
    /// Starts an operation of the core at the given time and returns its id.
    using Operation = std::function<OpId(DaemonCore &, TimePoint)>;

    CoreRunner(EventLoop &loop, std::unique_ptr<DaemonCore> core);
    ~CoreRunner();
    CoreRunner(const CoreRunner &) = delete;
    CoreRunner &operator=(const CoreRunner &) = delete;

    /// Starts calling tick() of the core periodically and executing its commands.
    void start(CoreExecutors executors);

    void onStoreReply(const StoreReply &reply);
    void onVmList(const VmListReply &reply);
    void onWorkerReply(const WorkerReply &reply);
    void onPeerMessage(const DaemonId &from, const PeerMessage &message);

    /// Starts an operation for a caller. The handler receives its answer after this function has returned.
    OpId call(const Operation &operation, AnswerHandler handler);
    /// Cancels a grant request without calling its handler.
    void cancelGrantRequest(OpId op);
    void releaseGrant(const Grant &grant, GrantOutcome grantOutcome);

    [[nodiscard]] DaemonCore &core();
    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] std::size_t pendingCalls() const; ///< Operations without an answer.

private:
    /// Ticks the core once after the current events, so that its commands don't wait for the tick timer.
    void scheduleTick();
    void tick();
    void execute(const Command &command);
    void deliverAnswer(const CallerAnswer &answer);

    EventLoop &m_loop;
    std::unique_ptr<DaemonCore> m_core;
    CoreExecutors m_executors;
    std::unordered_map<OpId, AnswerHandler> m_answerHandlers; ///< One entry per operation without an answer.
    std::unique_ptr<EventWatch> m_tickTimer;
    bool m_tickScheduled = false;
};

} // namespace KingCupLadder
