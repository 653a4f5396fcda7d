// Tracks the daemons and VMs known to this daemon: peers from settings, store rows and other peers, their heartbeats, the views
// of failure domains, and the VM list including VMs that are being removed ("leaving").
#pragma once

#include "messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace KingCupLadder {

struct MembershipSettings {
    PeerInfo self;
    std::uint64_t seed = 1;
    std::vector<std::string> seedAddresses; ///< "ip:port" of the peers listed in the settings.
    Duration heartbeatInterval{500};
    Duration peerTimeout{2500}; ///< A peer without a heartbeat for this long is not live.
    Duration peerRetention{600000}; ///< A peer that neither sent a heartbeat nor was registered for this long is dropped.
    Duration vmListInterval{1000};
};

class Membership
{
public:
    explicit Membership(const MembershipSettings &settings, TimePoint now);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void onHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    /// Processes the list of daemons that are registered in the store.
    void onRegistered(const std::vector<PeerInfo> &daemons, TimePoint now);
    /// Replaces the VM list. VMs that the platform or a peer marked as leaving stay marked.
    void onVmList(const std::vector<VmInfo> &vms, TimePoint now);

    /// Returns true once per heartbeat interval (with seeded jitter), when a heartbeat to each of heartbeatTargets() is due.
    [[nodiscard]] bool heartbeatDue(TimePoint now);
    /// Returns the known peers, including those without a heartbeat so far, and the seed addresses with an empty id.
    [[nodiscard]] std::vector<PeerInfo> heartbeatTargets() const;
    /// Returns true once per VM list interval (with seeded jitter).
    [[nodiscard]] bool vmListDue(TimePoint now);

    [[nodiscard]] std::vector<PeerInfo> livePeers(TimePoint now) const; ///< Peers with a heartbeat within peerTimeout that are not stopping.
    [[nodiscard]] std::vector<PeerInfo> knownPeers() const;
    [[nodiscard]] std::optional<PeerInfo> peer(const DaemonId &id) const;
    [[nodiscard]] const Heartbeat *lastHeartbeat(const DaemonId &id) const; ///< Null if there was none.
    /// Returns one entry per failure domain that has daemons or VMs. The ages take the reports of peers into account.
    [[nodiscard]] std::vector<DomainView> domainViews(Duration ownStoreAge, TimePoint now) const;
    [[nodiscard]] const std::vector<VmInfo> &vms() const; ///< The latest list, with "leaving" merged from all sources.
    [[nodiscard]] bool hasVmList() const;
    [[nodiscard]] std::vector<WorkerId> leavingVms() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace KingCupLadder
