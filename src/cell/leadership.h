// Leader election of the cell. One row of the store names the leader and its epoch. The leader holds a lease by renewing the row with
// compare-and-set; another daemon may take over when the lease has expired. While the store is unreachable for every daemon, the
// leader continues for a limited time if every member promises not to take over.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// A daemon of the cell.
struct CellMember {
    DaemonId id;
    Incarnation incarnation;
    std::string peerAddress;
    FailureDomain domain;
    MilliCores cpu; ///< CPU of its VM.
};

/// Content of the leader's row.
struct LeaderRecord {
    DaemonId holder; ///< The leader; empty after it has resigned.
    Incarnation incarnation;
    std::string peerAddress;
    Epoch epoch;
    std::vector<CellMember> members; ///< Daemons that may take over one lease term after the last renewal; other daemons wait for nonMemberTerm.
    DaemonId successor; ///< Preferred next leader after a resignation.
};

struct LeadershipSettings {
    Duration leaseTerm{1200}; ///< The lease expires when the row has not changed for this time.
    Duration leaseMargin{250}; ///< The leader stops sending orders this much before expiry, since timers fire late and clocks drift.
    Duration renewInterval{400};
    Duration retryInterval{150}; ///< After a failed write.
    Duration minRenewalInterval{40}; ///< While new jobs wait for a renewal; the policy service, asked meanwhile, takes about as long.
    Duration heartbeatTimeout{350}; ///< A member reads the row after this time without a heartbeat of the leader.
    Duration readInterval{250};
    Duration promiseDuration{1000}; ///< A member that answers a heartbeat does not claim the leadership for this time.
    Duration maxTimeWithoutRenewal{7000}; ///< Longest reliance on promises after a renewal; must be below nonMemberTerm, at which a non-member may claim.
    Duration nonMemberTerm{9000}; ///< Replaces leaseTerm for a daemon that is not in the row's member list, since such a daemon has promised nothing.
    double yieldCpuRatio = 1.5; ///< A leader yields to a member whose VM has more than this factor times the CPU of its own VM.
    Duration minTimeBeforeYield{100}; ///< Minimum time as leader before yielding; short, so that a weak leader yields before it has loaded the jobs.
    Duration claimPauseAfterYield{2000}; ///< A leader that has yielded does not claim again for this time.
    Duration strongerHeadStart{500}; ///< Added to the wait of a daemon that knows a much stronger one (see yieldCpuRatio), so that that one claims first.
    Duration successorHeadStart{800}; ///< After a resignation the other daemons give the successor this time to claim.
};

enum class LeaderAction {
    None,
    ReadRow,
    WriteRow, ///< Claim, renew or resign: write recordToWrite() if the row still has expectedVersion().
};

/// One daemon's part in the leader election. Performs no I/O itself: nextAction() says what to do, and the results are reported back.
class Leadership
{
public:
    Leadership(const CellMember &self, const LeadershipSettings &settings);

    /// Returns the action to perform now. No other action is returned until its result is reported.
    [[nodiscard]] LeaderAction nextAction(TimePoint now);
    [[nodiscard]] const LeaderRecord &recordToWrite() const;
    [[nodiscard]] RowVersion expectedVersion() const;
    /// Send time of the last confirmed renewal; zero: none.
    [[nodiscard]] TimePoint renewedAt() const;
    /// The version of the leader's row that was replaced by the claim of this leadership: the last write of a previous leader.
    [[nodiscard]] RowVersion replacedVersion() const;
    /// Requests an early renewal, subject to LeadershipSettings::minRenewalInterval.
    void requestRenewal();

    /// The row was read. There is no record if the row does not exist.
    void onRow(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now);
    void onReadFailed(TimePoint now);
    void onWritten(RowVersion version, TimePoint now);
    /// The write failed because the row has another version.
    void onConflict(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now);
    /// The write was rejected or its answer was lost. In the latter case it may still take effect.
    void onWriteFailed(TimePoint now);

    /// A heartbeat of a leader arrived. Returns true if it comes from the current leader and may be answered with a promise.
    /// @p version is the version of the leader's row known to the leader; 0: not given.
    bool onLeaderHeartbeat(const CellMember &leader, Epoch epoch, RowVersion version, TimePoint now);
    /// The leader has announced its resignation. The row is read without delay.
    void onResigned(const DaemonId &leader, Epoch epoch);
    /// A member answered the heartbeat that was sent at @p heartbeatSent. @p leaving: it leaves the cell and promises nothing.
    void onPromise(const CellMember &member, bool leaving, TimePoint heartbeatSent, TimePoint now);

    /// Gives up the leadership in favour of the strongest live member, and never claims it again.
    void resign(TimePoint now);
    [[nodiscard]] bool isLeader() const;
    /// Whether orders may be sent now. To be called before each send.
    [[nodiscard]] bool maySendOrders(TimePoint now) const;
    [[nodiscard]] Epoch epoch() const;
    /// The current leader as far as known; empty if there is none.
    [[nodiscard]] std::optional<CellMember> leader() const;
    /// Members that answered recently, excluding this daemon.
    [[nodiscard]] std::vector<CellMember> liveMembers(TimePoint now) const;
    /// Members that answered within the last @p silence, most recent first.
    [[nodiscard]] std::vector<CellMember> membersHeardWithin(Duration silence, TimePoint now) const;
    /// Known daemons, excluding this one, whether or not they are in the row's member list.
    [[nodiscard]] const std::map<DaemonId, CellMember> &knownMembers() const;
    /// Adds or updates a known member. Data of an older incarnation are ignored.
    void learnMember(const CellMember &member);

private:
    struct MemberState {
        TimePoint lastAnswer;
        TimePoint promiseStart; ///< Send time of the last answered heartbeat.
    };

    void updateRow(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now);
    [[nodiscard]] bool mayClaim(TimePoint now) const;
    [[nodiscard]] bool isMuchWeakerThan(const CellMember &member) const;
    void prepareClaim(TimePoint now);
    void prepareRenewal(TimePoint now);
    [[nodiscard]] bool isOwnRecord(const LeaderRecord &record) const;
    [[nodiscard]] TimePoint promisedByAllUntil() const;
    [[nodiscard]] std::optional<CellMember> strongestMember(TimePoint now) const;

    CellMember m_self;
    LeadershipSettings m_settings;
    std::optional<LeaderRecord> m_row; ///< Last known content of the leader's row.
    RowVersion m_version;
    bool m_rowKnown = false;
    TimePoint m_versionSeen; ///< When m_version was first seen, in the store or in a heartbeat.
    RowVersion m_heartbeatVersion; ///< Row version given by the last heartbeat.
    TimePoint m_heartbeatVersionSeen; ///< When a heartbeat first gave m_heartbeatVersion.
    TimePoint m_lastHeartbeat;
    TimePoint m_promisedUntil; ///< No claim before this, as promised to the leader.
    TimePoint m_nextRead;
    TimePoint m_nextWrite;
    TimePoint m_noWriteBefore; ///< Set after a failed write.
    RowVersion m_replacedVersion;
    bool m_actionInFlight = false; ///< The result of an action has not been reported yet.
    TimePoint m_writeSent;
    LeaderRecord m_recordToWrite;
    bool m_isLeader = false;
    bool m_resignRequested = false; ///< resign() was called: no further claims.
    bool m_resigning = false; ///< The next write gives up the leadership.
    TimePoint m_noClaimBefore; ///< Set when this leader yields.
    TimePoint m_leaderSince;
    Epoch m_epoch;
    TimePoint m_leaseStart; ///< Send time of the last confirmed write.
    std::map<DaemonId, CellMember> m_members; ///< Known daemons, excluding this one.
    std::map<DaemonId, MemberState> m_memberStates;
};

} // namespace KingCupLadder
