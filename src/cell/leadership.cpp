// Claims and renewals of the leader's row, and promises of the members.
#include "leadership.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration memberTimeout{3000}; // A member that has not answered for this time is left out of the row at the next renewal.

} // namespace

Leadership::Leadership(const CellMember &self, const LeadershipSettings &settings) : m_self(self), m_settings(settings) { }

bool Leadership::isOwnRecord(const LeaderRecord &record) const
{
    return record.holder == m_self.id && record.incarnation == m_self.incarnation;
}

LeaderAction Leadership::nextAction(TimePoint now)
{
    if (m_actionInFlight) {
        return LeaderAction::None;
    }
    if (m_isLeader) {
        if (now < m_nextWrite) {
            return LeaderAction::None;
        }
        const auto strongest = strongestMember(now);
        const bool isWeak = strongest && isMuchWeakerThan(*strongest);
        // A write that was sent within the last half of a lease term has been confirmed.
        const bool isConfirmed = now - m_leaseStart < m_settings.leaseTerm / 2;
        if (!m_resigning && isWeak && isConfirmed && now - m_leaderSince > m_settings.minTimeBeforeYield && !m_resignRequested) {
            m_resigning = true;
            m_noClaimBefore = now + m_settings.claimPauseAfterYield;
        }
        prepareRenewal(now);
        return LeaderAction::WriteRow;
    }
    if (m_rowKnown && mayClaim(now) && m_nextWrite <= now) {
        prepareClaim(now);
        return LeaderAction::WriteRow;
    }
    const bool isHeartbeatOverdue = m_lastHeartbeat == TimePoint() || now - m_lastHeartbeat > m_settings.heartbeatTimeout;
    if (isHeartbeatOverdue && m_nextRead <= now) {
        m_actionInFlight = true;
        m_nextRead = now + m_settings.readInterval;
        return LeaderAction::ReadRow;
    }
    return LeaderAction::None;
}

bool Leadership::mayClaim(TimePoint now) const
{
    if (m_resignRequested || now < m_promisedUntil || now < m_noClaimBefore) {
        return false;
    }
    if (!m_row || m_row->holder == m_self.id) {
        return true; // There is no row, or it names a previous process of this daemon, which is gone.
    }
    if (m_row->holder.isEmpty()) {
        return m_row->successor == m_self.id || m_row->successor.isEmpty() || now - m_versionSeen > m_settings.successorHeadStart;
    }
    const bool isMember = std::any_of(m_row->members.begin(), m_row->members.end(), [this](const CellMember &member) { return member.id == m_self.id; });
    const bool hasStronger =
        std::any_of(m_members.begin(), m_members.end(), [this](const auto &known) { return known.first != m_row->holder && isMuchWeakerThan(known.second); });
    return now - m_versionSeen > (isMember ? m_settings.leaseTerm : m_settings.nonMemberTerm) + (hasStronger ? m_settings.strongerHeadStart : Duration(0));
}

bool Leadership::isMuchWeakerThan(const CellMember &member) const
{
    return static_cast<double>(member.cpu.value()) > static_cast<double>(m_self.cpu.value()) * m_settings.yieldCpuRatio;
}

void Leadership::prepareClaim(TimePoint now)
{
    m_recordToWrite = LeaderRecord{};
    m_recordToWrite.holder = m_self.id;
    m_recordToWrite.incarnation = m_self.incarnation;
    m_recordToWrite.peerAddress = m_self.peerAddress;
    m_recordToWrite.epoch = m_row ? m_row->epoch.next() : Epoch(1);
    if (m_row) {
        m_recordToWrite.members = m_row->members;
    }
    const bool listed =
        std::any_of(m_recordToWrite.members.begin(), m_recordToWrite.members.end(), [this](const CellMember &member) { return member.id == m_self.id; });
    if (!listed) {
        m_recordToWrite.members.push_back(m_self);
    }
    m_replacedVersion = m_version;
    m_actionInFlight = true;
    m_writeSent = now;
}

void Leadership::prepareRenewal(TimePoint now)
{
    m_recordToWrite = LeaderRecord{};
    m_recordToWrite.incarnation = m_self.incarnation;
    m_recordToWrite.peerAddress = m_self.peerAddress;
    m_recordToWrite.epoch = m_epoch;
    m_recordToWrite.members = liveMembers(now);
    if (m_resigning) {
        if (const auto strongest = strongestMember(now)) {
            m_recordToWrite.successor = strongest->id;
        }
    } else {
        m_recordToWrite.holder = m_self.id;
    }
    m_recordToWrite.members.push_back(m_self);
    m_actionInFlight = true;
    m_writeSent = now;
}

const LeaderRecord &Leadership::recordToWrite() const
{
    return m_recordToWrite;
}

RowVersion Leadership::expectedVersion() const
{
    return m_version;
}

TimePoint Leadership::renewedAt() const
{
    return m_leaseStart;
}

RowVersion Leadership::replacedVersion() const
{
    return m_replacedVersion;
}

void Leadership::requestRenewal()
{
    m_nextWrite = std::max(std::min(m_nextWrite, m_writeSent + m_settings.minRenewalInterval), m_noWriteBefore);
}

void Leadership::updateRow(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now)
{
    if (!m_rowKnown || version != m_version) {
        // The leader sent the write of this version before the first heartbeat that gave the version, so its lease term may be counted
        // from the arrival of that heartbeat.
        m_versionSeen = version == m_heartbeatVersion ? m_heartbeatVersionSeen : now;
    }
    m_rowKnown = true;
    m_version = version;
    m_row = record;
    if (record) {
        for (const CellMember &member : record->members) {
            learnMember(member);
        }
    }
}

void Leadership::onRow(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now)
{
    m_actionInFlight = false;
    updateRow(record, version, now);
    if (record && isOwnRecord(*record) && !m_isLeader && !m_resignRequested) {
        // A claim whose answer was lost took effect. It is unknown when, so the lease starts with the next renewal.
        m_isLeader = true;
        m_epoch = record->epoch;
        m_leaseStart = TimePoint();
        m_nextWrite = now;
    }
}

void Leadership::onReadFailed(TimePoint /*now*/)
{
    m_actionInFlight = false;
}

void Leadership::onWritten(RowVersion version, TimePoint now)
{
    m_actionInFlight = false;
    updateRow(m_recordToWrite, version, now);
    if (m_recordToWrite.holder.isEmpty()) {
        m_isLeader = false;
        m_resigning = false;
        m_lastHeartbeat = now; // The row is known, so the next read can wait for heartbeatTimeout.
        return;
    }
    const bool isNew = !m_isLeader;
    m_leaderSince = isNew ? now : m_leaderSince;
    m_isLeader = true;
    m_epoch = m_recordToWrite.epoch;
    m_leaseStart = std::max(m_leaseStart, m_writeSent);
    // The first renewal comes early, so that a weak leader yields before it has loaded the jobs.
    m_nextWrite = m_writeSent + (isNew ? std::min(m_settings.minTimeBeforeYield + Duration(1), m_settings.renewInterval) : m_settings.renewInterval);
}

void Leadership::onConflict(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now)
{
    m_actionInFlight = false;
    updateRow(record, version, now);
    if (record && isOwnRecord(*record) && !m_resignRequested) {
        // A previous write whose answer was lost took effect. The lease is not extended: m_leaseStart is left as it is.
        m_isLeader = true;
        m_epoch = record->epoch;
        m_nextWrite = now;
        return;
    }
    m_isLeader = false;
    m_resigning = false;
    m_leaseStart = TimePoint();
}

void Leadership::onWriteFailed(TimePoint now)
{
    m_actionInFlight = false;
    m_nextWrite = now + m_settings.retryInterval;
    m_noWriteBefore = m_nextWrite;
    m_nextRead = now;
    if (m_isLeader && m_resigning && !m_resignRequested) {
        // The resignation may still take effect, so no orders may be sent before a renewal is confirmed.
        m_resigning = false;
        m_leaseStart = TimePoint();
    }
}

bool Leadership::onLeaderHeartbeat(const CellMember &leader, Epoch epoch, RowVersion version, TimePoint now)
{
    if (m_isLeader || (m_row && epoch < m_row->epoch)) {
        return false;
    }
    if (version != m_heartbeatVersion) {
        m_heartbeatVersion = version;
        m_heartbeatVersionSeen = now;
    }
    learnMember(leader);
    if (!m_row || m_row->epoch < epoch) {
        LeaderRecord record;
        record.holder = leader.id;
        record.incarnation = leader.incarnation;
        record.peerAddress = leader.peerAddress;
        record.epoch = epoch;
        m_row = record;
        m_rowKnown = false; // The version of the row is unknown until it is read.
    }
    if (m_row->holder != leader.id) {
        return false; // That leader has resigned.
    }
    m_lastHeartbeat = now;
    m_promisedUntil = std::max(m_promisedUntil, now + m_settings.promiseDuration);
    return true;
}

void Leadership::onResigned(const DaemonId &leader, Epoch epoch)
{
    if (!m_isLeader && m_row && m_row->holder == leader && !(epoch < m_row->epoch)) {
        m_lastHeartbeat = TimePoint();
        m_promisedUntil = TimePoint();
        m_nextRead = TimePoint();
    }
}

void Leadership::onPromise(const CellMember &member, bool leaving, TimePoint heartbeatSent, TimePoint now)
{
    learnMember(member);
    if (leaving) {
        m_memberStates.erase(member.id);
        return;
    }
    MemberState &state = m_memberStates[member.id];
    state.lastAnswer = now;
    state.promiseStart = std::max(state.promiseStart, heartbeatSent);
}

void Leadership::resign(TimePoint now)
{
    m_resignRequested = true;
    if (m_isLeader) {
        m_resigning = true;
        m_nextWrite = now;
    }
}

std::optional<CellMember> Leadership::strongestMember(TimePoint now) const
{
    std::optional<CellMember> strongest;
    for (const CellMember &member : liveMembers(now)) {
        if (!strongest || strongest->cpu < member.cpu) {
            strongest = member;
        }
    }
    return strongest;
}

bool Leadership::isLeader() const
{
    return m_isLeader;
}

TimePoint Leadership::promisedByAllUntil() const
{
    if (!m_row) {
        return TimePoint();
    }
    TimePoint until = TimePoint::max();
    for (const CellMember &member : m_row->members) {
        if (member.id == m_self.id) {
            continue;
        }
        const auto state = m_memberStates.find(member.id);
        until = std::min(until, state == m_memberStates.end() ? TimePoint() : state->second.promiseStart + m_settings.promiseDuration);
    }
    return until;
}

bool Leadership::maySendOrders(TimePoint now) const
{
    if (!m_isLeader || m_resigning || m_leaseStart == TimePoint()) {
        return false;
    }
    const TimePoint leaseEnd = m_leaseStart + m_settings.leaseTerm - m_settings.leaseMargin;
    if (now < leaseEnd) {
        return true;
    }
    return now < m_leaseStart + m_settings.maxTimeWithoutRenewal && now < promisedByAllUntil() - m_settings.leaseMargin;
}

Epoch Leadership::epoch() const
{
    return m_epoch;
}

std::optional<CellMember> Leadership::leader() const
{
    if (m_isLeader) {
        return m_self;
    }
    if (!m_row || m_row->holder.isEmpty()) {
        return std::nullopt;
    }
    return CellMember{m_row->holder, m_row->incarnation, m_row->peerAddress, {}, {}};
}

std::vector<CellMember> Leadership::liveMembers(TimePoint now) const
{
    return membersHeardWithin(memberTimeout, now);
}

std::vector<CellMember> Leadership::membersHeardWithin(Duration silence, TimePoint now) const
{
    std::vector<std::pair<TimePoint, DaemonId>> order;
    for (const auto &[id, state] : m_memberStates) {
        if (now - state.lastAnswer < silence) {
            order.emplace_back(state.lastAnswer, id);
        }
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<CellMember> live;
    live.reserve(order.size());
    for (const auto &[at, id] : order) {
        live.push_back(m_members.at(id));
    }
    return live;
}

const std::map<DaemonId, CellMember> &Leadership::knownMembers() const
{
    return m_members;
}

void Leadership::learnMember(const CellMember &member)
{
    if (member.id == m_self.id || member.id.isEmpty()) {
        return;
    }
    CellMember &known = m_members[member.id];
    if (known.incarnation <= member.incarnation) {
        const CellMember before = known;
        known = member;
        known.domain = member.domain.isEmpty() ? before.domain : member.domain;
        known.cpu = member.cpu.value() == 0 ? before.cpu : member.cpu;
    }
}

} // namespace KingCupLadder
