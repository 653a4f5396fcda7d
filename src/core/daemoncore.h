// The whole decision core of one daemon: events in, commands out, no I/O. The caller passes each event with the current time
// and then executes the commands of takeCommands(). Each command with an OpId is answered by exactly one event with that
// OpId, at the latest after the operation timeout (as StoreStatus::Unknown, an empty reply or an empty list).
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

/// Switches that let a test turn off one safety rule and show which failure the rule prevents. All are on in production.
struct CoreSafetyChecks {
    ShardSafetyChecks shard;
    bool checkLeaseRowOnTakeover = true; ///< See OwnershipSettings.
    bool ownershipReadsBack = true; ///< OwnershipSettings::readBackLostAnswers.
    bool growAfterConfirm = true; ///< See AllotmentSettings.
    bool shrinkBeforeGrow = true; ///< See AllotmentSettings.
    bool admissionReadsBack = true; ///< AdmissionSettings::readBackLostAnswers.
    bool claimsReadBack = true; ///< ClaimSettings::readBackLostAnswers.
    bool monotonicVersions = true; ///< See ConfigSettings.
};

struct DaemonCoreSettings {
    PeerInfo self;
    std::uint64_t seed = 1; ///< Of all randomness.
    std::vector<std::string> peerAddresses; ///< "ip:port" of peers named in the settings.
    Duration leaseTerm{6000};
    Duration leaseMargin{1000};
    Duration heartbeatInterval{500};
    Duration peerTimeout{2500};
    Duration vmListInterval{1000};
    Duration storeTimeout{1500};
    Duration workerTimeout{1000};
    Duration syncInterval{250};
    Duration taskTerm{10000};
    Duration keyBound{5000}; ///< A withdrawn key stops working within this span.
    Duration configInterval{1000}; ///< Between two reads of the configuration rows.
    Duration admissionTimeout{5000}; ///< A job submission is answered within this span.
    std::size_t maxWaitingRequests = 10000; ///< Grant wishes that wait for a slot.
    CoreSafetyChecks guards;
};

/// Who a key belongs to.
struct Identity {
    KeyId key;
    TeamId team;
    WorkspaceId workspace;
};

/// One number for the metrics endpoint.
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
    /// To be called at least every 20 ms, and after a batch of events.
    void tick(TimePoint now);
    [[nodiscard]] std::vector<Command> takeCommands();

    // Operations of callers. Each returned OpId is answered by one CallerAnswer command.

    /// The team of a secret key. ErrorKind::Unauthorized: unknown or withdrawn; Unavailable: the key list may be out of date.
    [[nodiscard]] Result<Identity> identify(const std::string &secret, TimePoint now) const;
    /// Answered by JobAccepted once the job is durable.
    OpId submitJob(const JobSpec &job, TimePoint now);
    /// Answered by JobRecord.
    OpId readJob(const JobId &job, TimePoint now);
    /// Answered by a list of JobRecord: the unfinished jobs of the team, of all teams if it is empty.
    OpId listJobs(const TeamId &team, TimePoint now);
    /// Answered by JobCancelled once the cancellation is durable. Only jobs of the team, of any team if it is empty.
    OpId cancelJob(const JobId &job, const TeamId &team, TimePoint now);
    /// Answered by a Grant, or by an error at the latest when the term of the wish is over.
    OpId acquireGrant(const GrantWish &wish, TimePoint now);
    /// Gives up a wish that was not answered. A grant that arrives later is released unused.
    void cancelGrantRequest(OpId op, TimePoint now);
    void releaseGrant(const Grant &grant, GrantOutcome end, TimePoint now);
    /// Claims an idempotency key of a request; answered by ClaimState. @p fingerprint identifies the request: the same key with
    /// another fingerprint is ErrorKind::Conflict.
    OpId claim(const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now);
    /// Records the outcome of a claimed request; answered without a body. An empty outcome removes the claim ("not run").
    OpId finishClaim(const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now);
    /// Answered by ConfigAccepted. ErrorKind::Conflict if the version in force is not @p expected.
    OpId applyTables(ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint now);
    OpId issueKey(const TeamKey &key, TimePoint now);
    OpId withdrawKey(const KeyId &key, TimePoint now);
    /// Answered by FleetStatus; asks every known daemon for status().
    OpId fleetStatus(const std::string &topic, TimePoint now);

    // Views.

    /// The tables in force; null before the first.
    [[nodiscard]] std::shared_ptr<const Tables> tables() const;
    [[nodiscard]] ConfigVersion tablesVersion() const;
    [[nodiscard]] ConfigVersion keysVersion() const;
    [[nodiscard]] std::string routesYaml() const;
    [[nodiscard]] std::string poolsYaml() const;
    [[nodiscard]] std::vector<TeamKey> keys() const;
    /// JSON of one topic: "daemon", "shards", "vms", "teams", "config", "explain/<job>". An unknown topic gives "{}".
    [[nodiscard]] std::string status(const std::string &topic, TimePoint now) const;
    [[nodiscard]] std::vector<Metric> metrics(TimePoint now) const;
    /// Whether callers should be sent here: tables are known and no stop has begun.
    [[nodiscard]] bool ready(TimePoint now) const;

    // Graceful shutdown.

    void beginStop(TimePoint now);
    /// True once every shard is handed over or given up.
    [[nodiscard]] bool stopped() const;

private:
    DaemonCore();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
