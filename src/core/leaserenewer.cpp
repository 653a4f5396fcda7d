// Registration, renewal and release of this daemon's own lease row.
#include "leaserenewer.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

/// Other daemons wait leaseTerm + leaseMargin before they take over, so a holder that retries within a second after an outage keeps
/// its lease.
constexpr BackoffSettings retrySettings{Duration(100), Duration(1000)};

/// Finds the lease row of the daemon in a reply. Returns an empty optional if the reply does not contain it.
std::optional<Row> findLeaseRow(const StoreReply &reply, const DaemonId &id)
{
    const auto isRow = [&](const Row &row) { return row.table == daemonsTable && row.key == id.value(); };
    const auto found = std::find_if(reply.rows.begin(), reply.rows.end(), isRow);
    return found == reply.rows.end() ? std::nullopt : std::optional<Row>(*found);
}

} // namespace

LeaseRenewer::LeaseRenewer(const OwnershipSettings &settings, NonceSource &nonces, TimePoint now)
    : m_settings(settings)
    , m_nonces(nonces)
    , m_random(deriveSeed(settings.seed, "lease"))
    , m_backoff(retrySettings, deriveSeed(settings.seed, "leaseretry"))
    , m_self(settings.self)
    , m_nextAt(now)
{
}

std::optional<LeaseOperation> LeaseRenewer::next(TimePoint now)
{
    if (m_inFlight || m_phase == Phase::Released || now < m_nextAt) {
        return std::nullopt;
    }
    if (m_releasing && m_phase != Phase::Held && !m_outcomeUnknown) {
        // No lease is held, so there is nothing to release.
        m_phase = Phase::Released;
        return std::nullopt;
    }
    m_inFlight = true;
    if (m_outcomeUnknown || m_phase == Phase::Unread) {
        return StoreRead{OpId(), daemonsTable, {m_self.id.value()}};
    }
    if (m_phase == Phase::Unregistered) {
        m_self.incarnation = std::max(m_settings.self.incarnation, m_highestIncarnation.next());
    }
    return leaseWrite(LeaseRow{m_self, m_releasing, m_nonces.next()}, now);
}

StoreTransaction LeaseRenewer::leaseWrite(const LeaseRow &row, TimePoint now)
{
    m_pendingNonce = row.nonce;
    m_pendingIsRelease = row.expired;
    m_unresolvedWrites[row.nonce] = now;
    const auto kind = m_version == RowVersion() ? RowWrite::Kind::Insert : RowWrite::Kind::Update;
    return StoreTransaction{OpId(), {RowWrite{kind, daemonsTable, m_self.id.value(), m_version, row.toJson()}}};
}

void LeaseRenewer::onTransact(const StoreReply &reply, TimePoint now)
{
    m_inFlight = false;
    const auto row = findLeaseRow(reply, m_self.id);
    if (reply.status == StoreStatus::Ok && row && row->version > m_version) {
        recordOwnWrite(m_pendingNonce, row->version, m_pendingIsRelease, now);
        return;
    }
    if (reply.status == StoreStatus::Conflict && row) {
        resolveFromRow(*row, now);
        return;
    }
    m_outcomeUnknown = true;
    m_nextAt = now + m_backoff.next();
}

void LeaseRenewer::onRead(const StoreReply &reply, TimePoint now)
{
    m_inFlight = false;
    if (reply.status != StoreStatus::Ok) {
        m_nextAt = now + m_backoff.next();
        return;
    }
    const Row row = findLeaseRow(reply, m_self.id).value_or(Row{daemonsTable, m_self.id.value(), RowVersion(), {}});
    if (m_phase == Phase::Held && row.version == m_version) {
        // The write has not taken effect yet. If it still does, the next compare-and-set conflicts and returns its row.
        m_outcomeUnknown = false;
        m_nextAt = now;
        return;
    }
    resolveFromRow(row, now);
}

void LeaseRenewer::resolveFromRow(const Row &row, TimePoint now)
{
    const auto lease = LeaseRow::fromJson(row.value);
    if (row.version > RowVersion() && lease && isOwnWrite(*lease)) {
        recordOwnWrite(lease->nonce, row.version, lease->expired, now);
        return;
    }
    adoptForeignRow(row, now);
}

/// Considers only writes of this object whose outcome is unknown, since an earlier process with the same seed used the same nonces.
bool LeaseRenewer::isOwnWrite(const LeaseRow &row) const
{
    return row.owner.id == m_self.id && row.owner.incarnation == m_self.incarnation && m_unresolvedWrites.count(row.nonce) > 0;
}

void LeaseRenewer::recordOwnWrite(const std::string &nonce, RowVersion version, bool released, TimePoint now)
{
    const auto write = m_unresolvedWrites.find(nonce);
    if (write != m_unresolvedWrites.end() && !released) {
        const TimePoint until = write->second + m_settings.leaseTerm - m_settings.leaseMargin;
        m_confirmedUntil = std::max(m_confirmedUntil.value_or(until), until);
    }
    m_unresolvedWrites.clear(); // Earlier writes require an older version and can no longer take effect.
    m_version = version;
    m_highestIncarnation = std::max(m_highestIncarnation, m_self.incarnation);
    m_outcomeUnknown = false;
    m_backoff.reset();
    m_phase = released ? Phase::Released : Phase::Held;
    // The release write does not wait for the renewal interval.
    m_nextAt = m_releasing ? now : now + m_random.around(m_settings.renewInterval);
}

void LeaseRenewer::adoptForeignRow(const Row &row, TimePoint now)
{
    m_nextAt = now;
    if (m_phase == Phase::Held) {
        markLost();
        // Delays the next attempt, so that two processes with the same daemon id do not replace each other's lease in a busy loop.
        m_nextAt = now + m_random.around(m_settings.renewInterval / 4);
    }
    const auto lease = LeaseRow::fromJson(row.value);
    m_highestIncarnation = std::max({m_highestIncarnation, m_self.incarnation, lease ? lease->owner.incarnation : Incarnation()});
    m_version = row.version;
    m_outcomeUnknown = false;
    m_unresolvedWrites.clear();
    m_phase = m_releasing ? Phase::Released : Phase::Unregistered;
}

void LeaseRenewer::markLost()
{
    m_lost = true;
    m_confirmedUntil.reset();
}

void LeaseRenewer::observe(const Row &row, TimePoint now)
{
    const bool newer = row.version > m_version;
    const auto lease = LeaseRow::fromJson(row.value);
    if (m_phase != Phase::Held || !newer || (lease && isOwnWrite(*lease))) {
        return;
    }
    // A write of this daemon that is in flight requires an older version and can no longer take effect. Its outcome still
    // counts as unknown until the reply to that write resolves it.
    adoptForeignRow(row, now);
    m_outcomeUnknown = m_inFlight;
}

void LeaseRenewer::release()
{
    if (!m_releasing) {
        m_releasing = true;
        m_nextAt = TimePoint();
    }
}

bool LeaseRenewer::held() const
{
    return m_phase == Phase::Held;
}

bool LeaseRenewer::released() const
{
    return m_phase == Phase::Released;
}

bool LeaseRenewer::hasKnownVersion() const
{
    return held() && !m_inFlight && !m_outcomeUnknown;
}

bool LeaseRenewer::confirmed(TimePoint now) const
{
    return held() && m_confirmedUntil && now < *m_confirmedUntil;
}

RowVersion LeaseRenewer::version() const
{
    return m_version;
}

Incarnation LeaseRenewer::incarnation() const
{
    return m_self.incarnation;
}

bool LeaseRenewer::takeLost()
{
    const bool lost = m_lost;
    m_lost = false;
    return lost;
}

} // namespace KingCupLadder
