// Protocol state between a shard owner and one worker: numbers the command batches, keeps at most one in flight, requires an inventory
// before any commitment, and implements the waiting times for workers that do not check epochs.
#pragma once

#include "messages.h"
#include "shardsafetychecks.h"

#include <optional>
#include <vector>

namespace KingCupLadder {

struct WorkerSessionSettings {
    DaemonId owner;
    Epoch epoch;
    Duration replyTimeout{2000}; ///< A batch counts as lost if no reply arrives within this time.
    Duration inventoryInterval{5000}; ///< Interval between two inventories of a reachable worker, which detect tasks lost in a restart.
    Duration maxStartAge{3000}; ///< Workers without epochs ignore a start older than this.
    Duration previousOwnerTerm{7000}; ///< The lease term of the previous owner, including its margin.
    Duration margin{1000}; ///< Allowance for differing clock rates.
    ShardSafetyChecks safetyChecks;
};

enum class WorkerPhase {
    Unread, ///< No inventory was read in this epoch; nothing may be committed.
    Read, ///< An inventory was read, so the commitments are known.
    Unreachable, ///< Was read, but a batch was lost or refused; a new inventory is needed before new commitments.
    Gone, ///< The platform no longer lists the VM.
};

enum class ReplyEffect {
    Ignored, ///< Not the reply to the batch in flight.
    Lost, ///< The batch may or may not have taken effect.
    Refused, ///< The batch had no effect.
    Accepted, ///< The batch took effect.
};

class WorkerSession
{
public:
    WorkerSession(const WorkerSessionSettings &settings, TimePoint now);
    /// Continues the sequence numbers after @p last, the last one that an earlier session used for this worker in this epoch.
    void continueAfter(Sequence last);

    [[nodiscard]] WorkerPhase phase() const;
    /// Whether new tasks and grants may be committed now.
    [[nodiscard]] bool mayCommit() const;
    [[nodiscard]] bool supportsEpochs() const;
    [[nodiscard]] bool isFenced() const; ///< The worker accepts only a newer owner.

    [[nodiscard]] bool isInFlight() const;
    /// Whether the next batch requests an inventory.
    [[nodiscard]] bool wantsInventory(TimePoint now) const;
    /// Begins the next batch and fills in its header. Call only while no batch is in flight.
    [[nodiscard]] SyncRequest beginBatch(OpId op, TimePoint now);
    /// Sets the tasks that the batch in flight starts.
    void setStarts(std::vector<TaskId> starts);

    /// Completes the batch in flight if the reply belongs to it.
    [[nodiscard]] ReplyEffect onReply(const WorkerReply &reply, TimePoint now);
    /// Returns true if the batch in flight timed out, which has the effect of a lost reply.
    [[nodiscard]] bool onTimeout(TimePoint now);
    /// Withdraws a batch that was never passed to the transport and so had no effect.
    void withdraw(OpId op);
    void setGone();

    /// Whether the inventory in the last accepted reply is conclusive about what runs. False for a worker without epochs as long as
    /// a delayed start could still take effect.
    [[nodiscard]] bool isInventoryConclusive() const;
    [[nodiscard]] Sequence lastSequence() const; ///< Sequence of the last batch that was begun.
    [[nodiscard]] std::vector<TaskId> takeStarts(); ///< The starts of the batch that completed last.
    [[nodiscard]] TimePoint lastSent() const;
    [[nodiscard]] TimePoint lastReply() const;
    [[nodiscard]] TimePoint timeoutAt() const; ///< Valid only while a batch is in flight.
    [[nodiscard]] std::uint32_t consecutiveLosses() const;

private:
    struct InFlightBatch {
        OpId op;
        Sequence sequence;
        bool inventory = false;
        TimePoint sent{};
    };

    /// Whether the reply belongs to another batch than the one in flight, according to its epoch and sequence.
    [[nodiscard]] bool isReplyToOtherBatch(const WorkerReply &reply) const;
    void onLost(const InFlightBatch &batch);
    ReplyEffect onRefused(const SyncReply &reply);
    ReplyEffect onAccepted(const SyncReply &reply, const InFlightBatch &batch, TimePoint now);

    WorkerSessionSettings m_settings;
    WorkerPhase m_phase = WorkerPhase::Unread;
    Sequence m_sequence; ///< Never decreases.
    std::optional<InFlightBatch> m_inFlight; ///< The batch in flight, if any.
    std::vector<TaskId> m_starts;
    bool m_supportsEpochs = true;
    bool m_fenced = false;
    bool m_isConclusive = false;
    bool m_capacityKnown = false;
    bool m_needInventory = true;
    TimePoint m_conclusiveFrom{}; ///< For workers without epochs: inventories of earlier batches may miss a delayed start.
    TimePoint m_lastInventory{};
    TimePoint m_lastSent{};
    TimePoint m_lastReply{};
    std::uint32_t m_consecutiveLosses = 0;
};

} // namespace KingCupLadder
