// Lease expiry measured by the observer's own clock.
#include "leasetracker.h"

namespace KingCupLadder {

LeaseTracker::LeaseTracker(const OwnershipSettings &settings) : m_settings(settings) { }

void LeaseTracker::onScan(const std::vector<Row> &rows, TimePoint sentAt, TimePoint now)
{
    m_scanned = true;
    for (const Row &row : rows) {
        observe(row, now);
    }
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        // The scan may lack rows that were created after it was sent, so rows seen since then are kept.
        holder = holder->second.lastSeen < sentAt ? m_holders.erase(holder) : std::next(holder);
    }
}

void LeaseTracker::observe(const Row &row, TimePoint now)
{
    const DaemonId id(row.key);
    if (row.version == RowVersion()) {
        m_holders.erase(id);
        return;
    }
    Holder &holder = m_holders[id];
    if (row.version < holder.version) {
        return;
    }
    // During a store outage no holder can renew, so every row stays unchanged. Holders get a full term again afterwards. Without an
    // outage, reads are at most half a term apart: the validation of OwnershipSettings bounds scan interval plus timeout.
    const bool gapBetweenReads = now - holder.lastSeen > m_settings.leaseTerm / 2;
    if (row.version > holder.version) {
        holder.lease = LeaseRow::fromJson(row.value);
        holder.version = row.version;
        holder.unchangedSince = now;
    } else if (gapBetweenReads) {
        holder.unchangedSince = now;
    }
    holder.lastSeen = now;
}

bool LeaseTracker::isScanned() const
{
    return m_scanned;
}

bool LeaseTracker::isOverdue(const Holder &holder) const
{
    // Only time up to the last read counts, since the row may have been renewed after it.
    return holder.lastSeen - holder.unchangedSince >= m_settings.leaseTerm + m_settings.leaseMargin;
}

HolderState LeaseTracker::stateOf(const DaemonId &daemon, Incarnation incarnation) const
{
    const auto found = m_holders.find(daemon);
    if (found == m_holders.end()) {
        return HolderState::Expired;
    }
    const Holder &holder = found->second;
    if (holder.lease && holder.lease->owner.incarnation > incarnation) {
        return HolderState::Superseded;
    }
    if (holder.lease && holder.lease->expired) {
        return HolderState::Expired;
    }
    return isOverdue(holder) ? HolderState::Overdue : HolderState::Live;
}

RowWrite LeaseTracker::holderLeaseCheck(const DaemonId &daemon, HolderState state, const std::string &nonce) const
{
    const auto found = m_holders.find(daemon);
    if (found == m_holders.end()) {
        return RowWrite{RowWrite::Kind::Check, daemonsTable, daemon.value(), RowVersion(), {}};
    }
    const Holder &holder = found->second;
    if (state != HolderState::Overdue) {
        return RowWrite{RowWrite::Kind::Check, daemonsTable, daemon.value(), holder.version, {}};
    }
    LeaseRow expired = holder.lease.value_or(LeaseRow());
    expired.owner.id = daemon;
    expired.expired = true;
    expired.nonce = nonce;
    return RowWrite{RowWrite::Kind::Update, daemonsTable, daemon.value(), holder.version, expired.toJson()};
}

bool LeaseTracker::isRegistered(const Holder &holder) const
{
    return holder.lease && !holder.lease->expired && !isOverdue(holder);
}

std::vector<PeerInfo> LeaseTracker::registered() const
{
    std::vector<PeerInfo> daemons;
    for (const auto &[id, holder] : m_holders) {
        if (isRegistered(holder)) {
            daemons.push_back(holder.lease->owner);
        }
    }
    return daemons;
}

std::optional<PeerInfo> LeaseTracker::registered(const DaemonId &daemon) const
{
    const auto found = m_holders.find(daemon);
    return found == m_holders.end() || !isRegistered(found->second) ? std::nullopt : std::optional<PeerInfo>(found->second.lease->owner);
}

} // namespace KingCupLadder
