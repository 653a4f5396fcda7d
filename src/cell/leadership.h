// Who leads the cell. One row of the store names the leader and its epoch; a lease on that row, renewed by compare-and-set,
// tells when another daemon may take over. While the store is away from everybody, the leader goes on for a limited time if
// every member promises not to take over.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

struct CellMember {
    DaemonId id;
    Incarnation incarnation;
    std::string peerAddress;
    FailureDomain domain;
    MilliCores power; ///< Processor of its VM.
};

/// The leader's row.
struct LeaderRecord {
    DaemonId holder; ///< Empty once the holder has resigned.
    Incarnation incarnation;
    std::string peerAddress;
    Epoch epoch;
    std::vector<CellMember> members; ///< May take over after one lease term; others wait longer.
    DaemonId successor; ///< Preferred after a resignation.
};

struct LeadershipSettings {
    Duration term{1200}; ///< A leader whose row has not changed for so long has lost its lease.
    Duration margin{250}; ///< The holder stops so much earlier: timers fire late and clocks drift.
    Duration renewInterval{400};
    Duration retryInterval{150}; ///< After a renewal that failed.
    Duration minRenewalInterval{40}; ///< Between two renewals if new jobs wait for one; the policy service takes about as long to answer.
    Duration heartbeatTimeout{350}; ///< Without a beat of the leader for so long, a member looks at the row.
    Duration readInterval{250};
    Duration promise{1000}; ///< A member that answers a beat does not take over for so long.
    Duration maxTimeOnPromises{7000}; ///< After the store's last confirmation; below nonMemberTerm.
    Duration nonMemberTerm{9000}; ///< A daemon that is not in the row's list of members takes over only after this.
    double yieldPowerRatio = 1.5; ///< A leader yields to a member with so much more processor.
    Duration minTimeBeforeYield{100}; ///< A leader leads at least so long before it yields: the jobs are not loaded twice.
    Duration claimPauseAfterYield{2000}; ///< A leader that has yielded does not claim again for so long.
    Duration strongerHeadStart{500}; ///< A weak member lets much stronger ones claim first.
    Duration successorHeadStart{800}; ///< After a resignation the others wait so long for the successor.
};

enum class LeaderAction {
    None,
    ReadRow,
    WriteRow, ///< Claim or renew: write next() if the row has version expected().
};

class Leadership
{
public:
    Leadership(const CellMember &self, const LeadershipSettings &settings);

    /// What to do now. A returned action is under way until its result is reported.
    [[nodiscard]] LeaderAction nextAction(TimePoint now);
    [[nodiscard]] const LeaderRecord &next() const;
    [[nodiscard]] RowVersion expected() const;
    /// When the last renewal that the store confirmed was sent; zero: none.
    [[nodiscard]] TimePoint renewedAt() const;
    /// The version of the leader's row that the claim of this leadership replaced: the last sign of the leaders before.
    [[nodiscard]] RowVersion replacedVersion() const;
    /// Renews earlier than the lease needs, but not more often than the settings say.
    void requestRenewal();

    /// The row as read; no record if it does not exist.
    void onRow(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now);
    void onReadFailed(TimePoint now);
    void onWritten(RowVersion version, TimePoint now);
    /// The row has another version.
    void onConflict(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now);
    /// Refused or lost; a lost write may still take effect.
    void onWriteFailed(TimePoint now);

    /// A beat of the leader arrived. True if it is the present leader's, and may be answered with a promise.
    /// @p version is that of the leader's row, as the leader knows it; 0: not told.
    bool onLeaderHeartbeat(const CellMember &leader, Epoch epoch, RowVersion version, TimePoint now);
    /// The leader has given up the leadership: looks at the row at once.
    void onResigned(const DaemonId &leader, Epoch epoch);
    /// A member answered the beat that was sent at @p beatSent.
    void onPromise(const CellMember &member, bool leaving, TimePoint beatSent, TimePoint now);

    /// Gives up the leadership in favour of the freshest member.
    void resign(TimePoint now);
    [[nodiscard]] bool isLeader() const;
    /// May orders be sent now? To be asked before each send.
    [[nodiscard]] bool maySendOrders(TimePoint now) const;
    [[nodiscard]] Epoch epoch() const;
    /// The present leader as far as known; no value while there is none.
    [[nodiscard]] std::optional<CellMember> leader() const;
    /// Members that answered lately, without this daemon.
    [[nodiscard]] std::vector<CellMember> liveMembers(TimePoint now) const;
    /// The same for members that answered within @p silence, the latest first.
    [[nodiscard]] std::vector<CellMember> membersHeardWithin(Duration silence, TimePoint now) const;
    [[nodiscard]] const std::map<DaemonId, CellMember> &knownMembers() const;
    void learnMember(const CellMember &member);

private:
    struct MemberState {
        TimePoint lastAnswer;
        TimePoint promiseFrom; ///< When the beat that was last answered was sent.
    };

    void adopt(const std::optional<LeaderRecord> &record, RowVersion version, TimePoint now);
    [[nodiscard]] bool mayClaim(TimePoint now) const;
    [[nodiscard]] bool isMuchWeakerThan(const CellMember &member) const;
    void prepareClaim(TimePoint now);
    void prepareRenewal(TimePoint now);
    [[nodiscard]] bool isMine(const LeaderRecord &record) const;
    [[nodiscard]] TimePoint promisedByAll() const;
    [[nodiscard]] std::optional<CellMember> strongestMember(TimePoint now) const;

    CellMember m_self;
    LeadershipSettings m_settings;
    std::optional<LeaderRecord> m_row; ///< As last seen.
    RowVersion m_version;
    bool m_rowKnown = false;
    TimePoint m_versionSeen; ///< When m_version was first seen, in the store or in a beat.
    RowVersion m_beatVersion; ///< As told by the last beat.
    TimePoint m_beatVersionSeen; ///< When a beat first told m_beatVersion.
    TimePoint m_lastBeat;
    TimePoint m_promisedUntil; ///< No claim before this.
    TimePoint m_nextRead;
    TimePoint m_nextWrite;
    TimePoint m_noWriteBefore; ///< After a write that failed.
    RowVersion m_formerVersion;
    bool m_pending = false; ///< An action is under way.
    TimePoint m_writeSent;
    LeaderRecord m_next;
    bool m_isLeader = false;
    bool m_retired = false;
    bool m_resigning = false;
    TimePoint m_noClaimBefore; ///< After it has yielded.
    TimePoint m_leaderSince;
    Epoch m_epoch;
    TimePoint m_leaseFrom; ///< When the last confirmed write was sent.
    std::map<DaemonId, CellMember> m_members; ///< Known daemons, without this one.
    std::map<DaemonId, MemberState> m_states;
};

} // namespace KingCupLadder
