// The daemons and VMs that this daemon knows of: peers from settings, store rows and other peers, their heartbeats, the view
// of failure domains, and the VM list with its leaving VMs.
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
    std::vector<std::string> seedAddresses; ///< "ip:port" of peers named in the settings.
    Duration heartbeatInterval{500};
    Duration peerTimeout{2500}; ///< A peer that was not heard for this long is not live.
    Duration forgetAfter{600000}; ///< A peer that was not heard and not registered for this long is dropped.
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
    /// Daemons registered in the store.
    void onRegistered(const std::vector<PeerInfo> &daemons, TimePoint now);
    /// Replaces the VM list. VMs that are marked leaving by the platform or by a peer stay marked.
    void onVmList(const std::vector<VmInfo> &vms, TimePoint now);

    /// True once per heartbeat interval (with seeded jitter): a heartbeat is due to every address of heartbeatTargets().
    [[nodiscard]] bool heartbeatDue(TimePoint now);
    /// Known peers, also those not heard yet, and the seed addresses with an empty id.
    [[nodiscard]] std::vector<PeerInfo> heartbeatTargets() const;
    /// True once per list interval (with seeded jitter).
    [[nodiscard]] bool vmListDue(TimePoint now);

    [[nodiscard]] std::vector<PeerInfo> livePeers(TimePoint now) const; ///< Heard within peerTimeout and not stopping.
    [[nodiscard]] std::vector<PeerInfo> knownPeers() const;
    [[nodiscard]] std::optional<PeerInfo> peer(const DaemonId &id) const;
    [[nodiscard]] const Heartbeat *lastHeartbeat(const DaemonId &id) const; ///< Null if none was heard.
    /// One entry per failure domain that has daemons or VMs; the ages include what peers reported.
    [[nodiscard]] std::vector<DomainView> domainViews(Duration ownStoreAge, TimePoint now) const;
    [[nodiscard]] const std::vector<VmInfo> &vms() const; ///< The last list, with "leaving" merged from all sources.
    [[nodiscard]] bool hasVmList() const;
    [[nodiscard]] std::vector<WorkerId> leavingVms() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace KingCupLadder
