// The decision core of a daemon, which takes events, returns commands and does no I/O. The host of the core, which is the daemon or a
// test, passes each event with the current time and then executes the commands from takeCommands(). The host answers each command
// that has an OpId with exactly one event with that OpId, at the latest after the operation timeout (as StoreStatus::Unknown, an empty
// reply or an empty list).
#pragma once

#include "error.h"
#include "keys.h"
#include "messages.h"
#include "shardsafetychecks.h"
#include "tables.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Lets a test disable a single safety check to show which failure the check prevents. All are enabled in production.
struct CoreSafetyChecks {
    ShardSafetyChecks shard;
    bool checkLeaseRowOnTakeover = true; ///< See OwnershipSettings.
    bool ownershipReadsBack = true; ///< OwnershipSettings::readBackAfterLostReplies.
    bool growAfterConfirm = true; ///< See AllotmentSettings.
    bool shrinkBeforeGrow = true; ///< See AllotmentSettings.
    bool admissionReadsBack = true; ///< AdmissionSettings::readBackAfterLostReplies.
    bool claimsReadBack = true; ///< ClaimSettings::readBackAfterLostReplies.
    bool monotonicVersions = true; ///< See ConfigSettings.
};

struct DaemonCoreSettings {
    PeerInfo self;
    std::uint64_t seed = 1; ///< Seeds all random number generators.
    std::vector<std::string> peerAddresses; ///< "ip:port" of the peers listed in the settings.
    Duration leaseTerm{6000}; ///< Term of the lease of this daemon, under which it owns shards.
    /// The holder stops relying on its lease this long before the end of leaseTerm; other daemons wait this much longer than leaseTerm before
    /// they take over.
    Duration leaseMargin{1000};
    Duration heartbeatInterval{500};
    Duration peerTimeout{2500};
    Duration vmListInterval{1000};
    Duration storeTimeout{1500};
    Duration workerTimeout{1000};
    Duration syncInterval{250};
    Duration taskTerm{10000}; ///< See ShardSettings.
    Duration keyBound{5000}; ///< A withdrawn key stops working within this time.
    Duration configInterval{1000}; ///< Time between two reads of the configuration rows.
    Duration admissionTimeout{5000}; ///< Every job submission is answered within this time.
    std::size_t maxWaitingRequests = 10000; ///< Limit of the requests that wait for a slot.
    CoreSafetyChecks safetyChecks;
};

/// The owner of a key.
struct Identity {
    KeyId key;
    TeamId team;
    WorkspaceId workspace;
};

/// A value for the metrics endpoint.
struct Metric {
    std::string name; ///< Without prefix, such as "task_starts_total".
    std::string labels; ///< Such as "team=\"a\",pool=\"b\""; may be empty.
    double value = 0.0;
};

class DaemonCore
{
public:
    [[nodiscard]] static Result<std::unique_ptr<DaemonCore>> create(const DaemonCoreSettings &settings, TimePoint now);
    ~DaemonCore();
    DaemonCore(const DaemonCore &) = delete;
    DaemonCore &operator=(const DaemonCore &) = delete;

    // Events.

    void onStoreReply(const StoreReply &reply, TimePoint now);
    void onVmList(const VmListReply &reply, TimePoint now);
    void onWorkerReply(const WorkerReply &reply, TimePoint now);
    void onPeerMessage(const DaemonId &from, const PeerMessage &message, TimePoint now);
    /// Must be called at least every 20 ms, and after a batch of events.
    void tick(TimePoint now);
    [[nodiscard]] std::vector<Command> takeCommands();

    // Operations of callers. Each returned OpId is answered with one CallerAnswer command.

    /// Returns the owner of a secret key. ErrorKind::Unauthorized: the key is unknown or withdrawn; Unavailable: the key list may
    /// be out of date.
    [[nodiscard]] Result<Identity> identify(const std::string &secret, TimePoint now) const;
    /// Answered with JobAccepted once the job is durable.
    OpId submitJob(const JobSpec &job, TimePoint now);
    /// Answered with JobRecord.
    OpId readJob(const JobId &job, TimePoint now);
    /// Answered with the JobRecords of the unfinished jobs of the team, or of all teams if @p team is empty. Reads at most 1000 jobs of
    /// all teams; jobs beyond these are not listed.
    OpId listJobs(const TeamId &team, TimePoint now);
    /// Answered with JobCancelled once the cancellation is durable. Applies only to jobs of the team, or of any team if @p team is
    /// empty.
    OpId cancelJob(const JobId &job, const TeamId &team, TimePoint now);
    /// Answered with a Grant, or with an error by the deadline of the request.
    OpId acquireGrant(const GrantSpec &spec, TimePoint now);
    /// Cancels an acquireGrant() that was not answered. A grant that arrives later is released unused.
    void cancelGrantRequest(OpId op, TimePoint now);
    void releaseGrant(const Grant &grant, GrantOutcome grantOutcome, TimePoint now);
    /// Claims the idempotency key of a request. Answered with ClaimState, or with ErrorKind::Conflict if the key was used with
    /// another fingerprint. @p fingerprint identifies the request.
    OpId claim(const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now);
    /// Records the outcome of a claimed request. An empty outcome removes the claim ("not run"). Answered without a body.
    OpId finishClaim(const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now);
    /// Answered with ConfigAccepted, or with ErrorKind::Conflict if the active version is not @p expected.
    OpId applyTables(ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint now);
    OpId issueKey(const TeamKey &key, TimePoint now);
    OpId withdrawKey(const KeyId &key, TimePoint now);
    /// Queries status() of every known daemon. Answered with FleetStatus.
    OpId fleetStatus(const std::string &topic, TimePoint now);

    // State.

    /// The active configuration (routes, pools and teams); null before the first one is received.
    [[nodiscard]] std::shared_ptr<const Tables> tables() const;
    [[nodiscard]] ConfigVersion tablesVersion() const;
    [[nodiscard]] ConfigVersion keysVersion() const;
    [[nodiscard]] std::string routesYaml() const;
    [[nodiscard]] std::string poolsYaml() const;
    [[nodiscard]] std::vector<TeamKey> keys() const;
    /// Returns the JSON of a topic: "daemon", "shards", "vms", "quarantine", "teams", "config" or "explain/<job>". Returns "{}" for an
    /// unknown topic.
    [[nodiscard]] std::string status(const std::string &topic, TimePoint now) const;
    [[nodiscard]] std::vector<Metric> metrics(TimePoint now) const;
    /// Whether this daemon can serve callers: it has tables, and beginStop() was not called.
    [[nodiscard]] bool ready(TimePoint now) const;

    // Graceful shutdown.

    /// Starts to hand over all shards; ready() returns false from now on.
    void beginStop(TimePoint now);
    /// Whether every shard has been handed over or released after beginStop().
    [[nodiscard]] bool stopped() const;

private:
    DaemonCore();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
