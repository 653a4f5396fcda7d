// Protocol state between a shard owner and one worker.
#include "workersession.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

WorkerSession::WorkerSession(const WorkerSessionSettings &settings, TimePoint now)
    : m_settings(settings), m_conclusiveFrom(now + settings.previousOwnerTerm + settings.maxStartAge), m_lastReply(now)
{
}

void WorkerSession::continueAfter(Sequence last)
{
    m_sequence = std::max(m_sequence, last);
}

WorkerPhase WorkerSession::phase() const
{
    return m_phase;
}

bool WorkerSession::mayCommit() const
{
    if (!m_settings.safetyChecks.inventoryBeforeCommit) {
        return m_capacityKnown && m_phase != WorkerPhase::Gone && m_consecutiveLosses == 0;
    }
    return m_phase == WorkerPhase::Read;
}

bool WorkerSession::supportsEpochs() const
{
    return m_supportsEpochs;
}

bool WorkerSession::isFenced() const
{
    return m_fenced;
}

bool WorkerSession::isInFlight() const
{
    return m_inFlight.has_value();
}

bool WorkerSession::wantsInventory(TimePoint now) const
{
    // With the check disabled, the first batch reads only the capacity, so that work is committed before an inventory.
    if (!m_settings.safetyChecks.inventoryBeforeCommit && !m_capacityKnown) {
        return false;
    }
    return m_needInventory || now - m_lastInventory >= m_settings.inventoryInterval;
}

SyncRequest WorkerSession::beginBatch(OpId op, TimePoint now)
{
    if (m_settings.safetyChecks.sequenceOrder || m_sequence == Sequence()) {
        m_sequence = m_sequence.next();
    }
    m_inFlight = InFlightBatch{op, m_sequence, wantsInventory(now), now};
    m_lastSent = now;
    m_starts.clear();
    SyncRequest request;
    request.owner = m_settings.owner;
    request.epoch = m_settings.epoch;
    request.sequence = m_sequence;
    request.inventory = m_inFlight->inventory;
    return request;
}

void WorkerSession::setStarts(std::vector<TaskId> starts)
{
    m_starts = std::move(starts);
}

bool WorkerSession::isReplyToOtherBatch(const WorkerReply &reply) const
{
    // A refusal contains the highest epoch and sequence that the worker has accepted, not those of the refused batch.
    if (!reply.reply || reply.reply->refused || !reply.reply->supportsEpochs) {
        return false;
    }
    return reply.reply->epoch != m_settings.epoch || reply.reply->sequence != m_inFlight->sequence;
}

ReplyEffect WorkerSession::onReply(const WorkerReply &reply, TimePoint now)
{
    if (!m_inFlight || m_inFlight->op != reply.op || isReplyToOtherBatch(reply)) {
        return ReplyEffect::Ignored;
    }
    const InFlightBatch batch = *std::exchange(m_inFlight, std::nullopt);
    m_isConclusive = false;
    if (!reply.reply) {
        onLost(batch);
        return ReplyEffect::Lost;
    }
    if (reply.reply->refused) {
        return onRefused(*reply.reply);
    }
    return onAccepted(*reply.reply, batch, now);
}

bool WorkerSession::onTimeout(TimePoint now)
{
    if (!m_inFlight || now < timeoutAt()) {
        return false;
    }
    const InFlightBatch batch = *std::exchange(m_inFlight, std::nullopt);
    m_isConclusive = false;
    onLost(batch);
    return true;
}

void WorkerSession::onLost(const InFlightBatch &batch)
{
    ++m_consecutiveLosses;
    m_needInventory = true;
    if (m_phase == WorkerPhase::Read) {
        m_phase = WorkerPhase::Unreachable;
    }
    if (!m_supportsEpochs) {
        m_conclusiveFrom = std::max(m_conclusiveFrom, batch.sent + m_settings.maxStartAge + m_settings.margin);
    }
}

ReplyEffect WorkerSession::onRefused(const SyncReply &reply)
{
    m_needInventory = true;
    if (m_phase == WorkerPhase::Read) {
        m_phase = WorkerPhase::Unreachable;
    }
    // A higher epoch belongs to a newer owner. At the same epoch the sequence was too low, so the next batch continues after it.
    if (reply.epoch > m_settings.epoch) {
        m_fenced = true;
    } else if (reply.epoch == m_settings.epoch) {
        m_sequence = std::max(m_sequence, reply.sequence);
    }
    return ReplyEffect::Refused;
}

ReplyEffect WorkerSession::onAccepted(const SyncReply &reply, const InFlightBatch &batch, TimePoint now)
{
    m_consecutiveLosses = 0;
    m_lastReply = now;
    m_capacityKnown = true;
    m_supportsEpochs = reply.supportsEpochs;
    if (!reply.inventory || !batch.inventory) {
        return ReplyEffect::Accepted;
    }
    m_isConclusive = m_supportsEpochs || batch.sent >= m_conclusiveFrom;
    if (m_isConclusive) {
        m_lastInventory = now;
        m_needInventory = false;
        m_phase = m_phase == WorkerPhase::Gone ? WorkerPhase::Gone : WorkerPhase::Read;
    }
    return ReplyEffect::Accepted;
}

void WorkerSession::withdraw(OpId op)
{
    if (m_inFlight && m_inFlight->op == op) {
        m_inFlight.reset();
    }
}

void WorkerSession::setGone()
{
    m_phase = WorkerPhase::Gone;
}

bool WorkerSession::isInventoryConclusive() const
{
    return m_isConclusive;
}

Sequence WorkerSession::lastSequence() const
{
    return m_sequence;
}

std::vector<TaskId> WorkerSession::takeStarts()
{
    return std::exchange(m_starts, {});
}

TimePoint WorkerSession::lastSent() const
{
    return m_lastSent;
}

TimePoint WorkerSession::lastReply() const
{
    return m_lastReply;
}

TimePoint WorkerSession::timeoutAt() const
{
    return m_inFlight ? m_inFlight->sent + m_settings.replyTimeout : TimePoint::max();
}

std::uint32_t WorkerSession::consecutiveLosses() const
{
    return m_consecutiveLosses;
}

} // namespace KingCupLadder
