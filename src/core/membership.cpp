// Tracks peers, failure domains and VMs.
#include "membership.h"

#include "backoff.h"

#include <algorithm>
#include <map>
#include <set>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxPeers = 1000; ///< Far above the number of daemons; bounds the memory that invalid heartbeats can use.

/// A timer whose period varies by 10 %, so that daemons that start together do not stay synchronized.
class JitteredTimer
{
public:
    JitteredTimer(Duration interval, std::uint64_t seed, TimePoint now) : m_interval(interval), m_random(seed), m_next(now + m_random.upTo(interval)) { }

    bool due(TimePoint now)
    {
        if (now < m_next) {
            return false;
        }
        m_next = now + m_random.around(m_interval);
        return true;
    }

private:
    Duration m_interval;
    RandomSource m_random;
    TimePoint m_next;
};

struct Peer {
    PeerInfo info;
    std::optional<Heartbeat> heartbeat; ///< The latest heartbeat.
    TimePoint heardAt{}; ///< Meaningful only if there is a heartbeat.
    TimePoint lastSeenAt{}; ///< When the peer last sent a heartbeat, was registered or was first reported.
};

/// Keeps the smaller ages of two views of the same domain.
void mergeDomainView(std::map<FailureDomain, DomainView> &views, const DomainView &view)
{
    const auto [found, added] = views.emplace(view.domain, view);
    if (!added) {
        found->second.heardAge = std::min(found->second.heardAge, view.heardAge);
        found->second.storeAge = std::min(found->second.storeAge, view.storeAge);
    }
}

} // namespace

class Membership::Private
{
public:
    Private(const MembershipSettings &membershipSettings, TimePoint now)
        : settings(membershipSettings)
        , heartbeatTimer(settings.heartbeatInterval, deriveSeed(settings.seed, "heartbeat"), now)
        , vmListTimer(settings.vmListInterval, deriveSeed(settings.seed, "vmlist"), now)
    {
    }

    /// Adds or updates a peer. Returns null for this daemon itself, for an earlier run of the peer, and if there are too many peers.
    Peer *upsertPeer(const PeerInfo &info, TimePoint now)
    {
        if (info.id.isEmpty() || info.id == settings.self.id) {
            return nullptr;
        }
        const auto found = peers.find(info.id);
        if (found != peers.end() && info.incarnation < found->second.info.incarnation) {
            return nullptr;
        }
        if (found == peers.end() && peers.size() >= maxPeers) {
            return nullptr;
        }
        const bool added = found == peers.end();
        Peer &peer = peers[info.id];
        if (!added && peer.info.incarnation < info.incarnation) {
            peer.heartbeat.reset();
        }
        peer.info = info;
        if (added) {
            peer.lastSeenAt = now;
        }
        return &peer;
    }

    /// Adds or updates a peer that another peer lists. Does not update lastSeenAt of a known peer: two daemons would otherwise keep a
    /// removed peer in their lists by reporting it to each other.
    void addReportedPeer(const PeerInfo &info, TimePoint now)
    {
        const auto droppedPeer = dropped.find(info.id);
        if (droppedPeer != dropped.end() && info.incarnation <= droppedPeer->second) {
            return;
        }
        const auto known = peers.find(info.id);
        if (known == peers.end() || known->second.info.incarnation < info.incarnation) {
            upsertPeer(info, now);
        }
    }

    void dropStalePeers(TimePoint now)
    {
        for (auto peer = peers.begin(); peer != peers.end();) {
            if (now - peer->second.lastSeenAt <= settings.peerRetention) {
                ++peer;
                continue;
            }
            if (dropped.size() < maxPeers) {
                dropped[peer->first] = peer->second.info.incarnation;
            }
            peer = peers.erase(peer);
        }
    }

    [[nodiscard]] bool isLive(const Peer &peer, TimePoint now) const
    {
        return peer.heartbeat && !peer.heartbeat->stopping && now - peer.heardAt <= settings.peerTimeout;
    }

    void markLeaving()
    {
        for (VmInfo &vm : vms) {
            vm.leaving = vm.leaving || leaving.count(vm.id) > 0;
        }
    }

    MembershipSettings settings;
    JitteredTimer heartbeatTimer;
    JitteredTimer vmListTimer;
    std::map<DaemonId, Peer> peers; ///< Never contains this daemon.
    std::map<DaemonId, Incarnation> dropped; ///< Peers that are not added again only because another peer still lists them.
    std::vector<VmInfo> vms;
    bool hasVms = false;
    std::set<WorkerId> leaving; ///< VMs marked by the platform or a peer; limited to those in the VM list once there is one.
};

Membership::Membership(const MembershipSettings &settings, TimePoint now) : m_d(std::make_unique<Private>(settings, now)) { }

Membership::~Membership() = default;

void Membership::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    Peer *peer = m_d->upsertPeer(heartbeat.self, now);
    if (peer == nullptr) {
        return;
    }
    m_d->dropped.erase(heartbeat.self.id);
    peer->heartbeat = heartbeat;
    peer->heardAt = now;
    peer->lastSeenAt = now;
    for (const PeerInfo &known : heartbeat.known) {
        m_d->addReportedPeer(known, now);
    }
    // Once there is a VM list, VMs that are not in it are ignored. Peers would otherwise report a VM that no longer exists as leaving to
    // each other forever.
    const bool vmListMissing = !m_d->hasVms;
    for (const WorkerId &vm : heartbeat.leaving) {
        const bool listed = std::any_of(m_d->vms.begin(), m_d->vms.end(), [&](const VmInfo &info) { return info.id == vm; });
        if (vmListMissing || listed) {
            m_d->leaving.insert(vm);
        }
    }
    m_d->markLeaving();
    m_d->dropStalePeers(now);
}

void Membership::onRegistered(const std::vector<PeerInfo> &daemons, TimePoint now)
{
    for (const PeerInfo &daemon : daemons) {
        if (Peer *peer = m_d->upsertPeer(daemon, now)) {
            peer->lastSeenAt = now;
            m_d->dropped.erase(daemon.id);
        }
    }
    m_d->dropStalePeers(now);
}

void Membership::onVmList(const std::vector<VmInfo> &vms, TimePoint now)
{
    m_d->vms = vms;
    m_d->hasVms = true;
    std::set<WorkerId> leaving;
    for (const VmInfo &vm : vms) {
        if (vm.leaving || m_d->leaving.count(vm.id) > 0) {
            leaving.insert(vm.id);
        }
    }
    m_d->leaving = std::move(leaving);
    m_d->markLeaving();
    m_d->dropStalePeers(now);
}

bool Membership::heartbeatDue(TimePoint now)
{
    return m_d->heartbeatTimer.due(now);
}

std::vector<PeerInfo> Membership::heartbeatTargets() const
{
    std::vector<PeerInfo> targets = knownPeers();
    std::set<std::string> addresses{m_d->settings.self.peerAddress};
    for (const PeerInfo &peer : targets) {
        addresses.insert(peer.peerAddress);
    }
    for (const std::string &address : m_d->settings.seedAddresses) {
        if (addresses.insert(address).second) {
            PeerInfo unknown;
            unknown.peerAddress = address;
            targets.push_back(unknown);
        }
    }
    return targets;
}

bool Membership::vmListDue(TimePoint now)
{
    return m_d->vmListTimer.due(now);
}

std::vector<PeerInfo> Membership::livePeers(TimePoint now) const
{
    std::vector<PeerInfo> live;
    for (const auto &[id, peer] : m_d->peers) {
        if (m_d->isLive(peer, now)) {
            live.push_back(peer.info);
        }
    }
    return live;
}

std::vector<PeerInfo> Membership::knownPeers() const
{
    std::vector<PeerInfo> known;
    for (const auto &[id, peer] : m_d->peers) {
        known.push_back(peer.info);
    }
    return known;
}

std::optional<PeerInfo> Membership::peer(const DaemonId &id) const
{
    const auto found = m_d->peers.find(id);
    return found == m_d->peers.end() ? std::nullopt : std::optional<PeerInfo>(found->second.info);
}

const Heartbeat *Membership::lastHeartbeat(const DaemonId &id) const
{
    const auto found = m_d->peers.find(id);
    return found == m_d->peers.end() || !found->second.heartbeat ? nullptr : &*found->second.heartbeat;
}

std::vector<DomainView> Membership::domainViews(Duration ownStoreAge, TimePoint now) const
{
    std::map<FailureDomain, DomainView> views;
    mergeDomainView(views, DomainView{m_d->settings.self.domain, Duration(0), ownStoreAge});
    // Stands for domains of which nothing was heard: peers are dropped after this time without a heartbeat or registration.
    const Duration neverHeard = m_d->settings.peerRetention;
    for (const VmInfo &vm : m_d->vms) {
        mergeDomainView(views, DomainView{vm.domain, neverHeard, neverHeard});
    }
    for (const auto &[id, peer] : m_d->peers) {
        mergeDomainView(views, DomainView{peer.info.domain, neverHeard, neverHeard});
        if (!peer.heartbeat) {
            continue;
        }
        const Duration since = now - peer.heardAt;
        mergeDomainView(views, DomainView{peer.info.domain, since, peer.heartbeat->storeAge + since});
        for (const DomainView &reported : peer.heartbeat->domains) {
            mergeDomainView(views, DomainView{reported.domain, reported.heardAge + since, reported.storeAge + since});
        }
    }
    std::vector<DomainView> list;
    for (const auto &[domain, view] : views) {
        if (!domain.isEmpty()) {
            list.push_back(view);
        }
    }
    return list;
}

const std::vector<VmInfo> &Membership::vms() const
{
    return m_d->vms;
}

bool Membership::hasVmList() const
{
    return m_d->hasVms;
}

std::vector<WorkerId> Membership::leavingVms() const
{
    return {m_d->leaving.begin(), m_d->leaving.end()};
}

} // namespace KingCupLadder
