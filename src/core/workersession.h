// One worker as its owner sees it: order of commands, at most one command batch in flight, inventory before any commitment, and
// the waits for workers that do not check epochs.
#pragma once

#include "messages.h"
#include "shardsafetychecks.h"

#include <optional>
#include <vector>

namespace KingCupLadder {

struct WorkerSessionSettings {
    DaemonId owner;
    Epoch epoch;
    Duration answerTimeout{2000}; ///< A batch without an answer counts as lost after this span.
    Duration inventoryInterval{5000}; ///< Between two inventories of a worker that answers; finds tasks lost in a restart.
    Duration maxStartAge{3000}; ///< Workers without epochs ignore a start older than this.
    Duration ownerLeaseTerm{7000}; ///< Lease term plus margin of the previous owner.
    Duration margin{1000}; ///< Allowance for differing clock rates.
    ShardSafetyChecks guards;
};

enum class WorkerPhase {
    Unread, ///< No inventory at this epoch; nothing may be committed.
    Read, ///< Commitments are known.
    Unreachable, ///< Was read; the last batch was lost, so that an inventory is needed before new commitments.
    Gone, ///< The platform no longer lists the VM.
};

enum class ReplyEffect {
    Ignored, ///< Not the answer to the batch in flight.
    Lost, ///< The batch may or may not have taken effect.
    Refused, ///< The batch had no effect.
    Accepted, ///< The batch took effect.
};

class WorkerSession
{
public:
    WorkerSession(const WorkerSessionSettings &settings, TimePoint now);
    /// Sequences go on after @p last, used for the same worker in this epoch by an earlier session.
    void continueAfter(Sequence last);

    [[nodiscard]] WorkerPhase phase() const;
    /// Whether new tasks and grants may be committed now.
    [[nodiscard]] bool mayCommit() const;
    [[nodiscard]] bool supportsEpochs() const;
    [[nodiscard]] bool isFenced() const; ///< A newer owner has reached the worker.

    [[nodiscard]] bool isInFlight() const;
    /// Whether the next batch asks for an inventory that may settle what is unknown.
    [[nodiscard]] bool wantsInventory(TimePoint now) const;
    /// Begins the next batch and fills in everything but its contents. Only while none is in flight.
    [[nodiscard]] SyncRequest begin(OpId op, TimePoint now);
    /// The tasks that the batch in flight starts; their fate hangs on its answer.
    void setStarts(std::vector<TaskId> starts);

    /// Ends the batch in flight if the reply belongs to it.
    [[nodiscard]] ReplyEffect onReply(const WorkerReply &reply, TimePoint now);
    /// True if the batch in flight was given up. Same as a lost answer.
    [[nodiscard]] bool onTimeout(TimePoint now);
    /// Withdraws a batch that was never handed to the transport; it had no effect.
    void withdraw(OpId op);
    void setGone();

    /// Whether the inventory of the last accepted reply settles what runs. False for a worker without epochs while a delayed
    /// start could still take effect.
    [[nodiscard]] bool isInventoryConclusive() const;
    [[nodiscard]] Sequence lastSequence() const; ///< Of the batch that was begun last.
    [[nodiscard]] std::vector<TaskId> takeStarts(); ///< Of the batch that ended last.
    [[nodiscard]] TimePoint lastSent() const;
    [[nodiscard]] TimePoint lastAnswer() const;
    [[nodiscard]] TimePoint timeoutAt() const; ///< Only while a batch is in flight.
    [[nodiscard]] std::uint32_t consecutiveLosses() const;

private:
    struct Flight {
        OpId op;
        Sequence sequence;
        bool inventory = false;
        TimePoint sent{};
    };

    /// Whether the reply answers another batch than the one in flight, by its epoch and sequence.
    [[nodiscard]] bool answersOtherBatch(const WorkerReply &reply) const;
    void onLost(const Flight &flight);
    ReplyEffect onRefused(const SyncReply &reply);
    ReplyEffect onAccepted(const SyncReply &reply, const Flight &flight, TimePoint now);

    WorkerSessionSettings m_settings;
    WorkerPhase m_phase = WorkerPhase::Unread;
    Sequence m_sequence; ///< Only grows.
    std::optional<Flight> m_flight; ///< At most one batch.
    std::vector<TaskId> m_starts;
    bool m_supportsEpochs = true;
    bool m_fenced = false;
    bool m_settles = false;
    bool m_capacityKnown = false;
    bool m_needInventory = true;
    TimePoint m_settleFrom{}; ///< A worker without epochs: earlier inventories may miss a delayed start.
    TimePoint m_lastInventory{};
    TimePoint m_lastSent{};
    TimePoint m_lastAnswer{};
    std::uint32_t m_lostInRow = 0;
};

} // namespace KingCupLadder
