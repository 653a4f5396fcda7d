// Persists submitted jobs and their state changes in the store. Writes are batched, with one transaction in flight at a time. If a
// transaction gets no reply, its outcome is determined by reading the rows back.
#pragma once

#include "error.h"
#include "messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct AdmissionSettings {
    DaemonId self;
    Incarnation incarnation; ///< Together with self, identifies job starts recorded by this run of the daemon.
    std::uint64_t seed = 1;
    std::size_t maxRows = 200; ///< Maximum rows per transaction and keys per read.
    Duration flushInterval{5}; ///< Maximum time a write waits for others to join its batch.
    Duration operationTimeout{1500}; ///< A store operation without a reply for this long counts as StoreStatus::Unknown.
    Duration admissionTimeout{5000}; ///< Every submission is answered within this time.
    Duration initialBackoff{50}; ///< Delay after a lost reply; doubles up to maxBackoff.
    Duration maxBackoff{2000};
    Duration retryAfter{2000}; ///< Delay that callers are told to wait before they submit a job again.
    std::size_t maxWaitingSubmissions = 20000; ///< Limit of pending submissions; further ones are refused at once.
    std::size_t maxCachedJobs = 5000; ///< Jobs whose rows are cached in memory, about 1 KB each.
    bool readBackAfterLostReplies = true; ///< Disabled only in tests; a lost reply then counts as "not written".
};

/// A precondition of a write: the row must still have this version.
struct RowFence {
    std::string table;
    std::string key;
    RowVersion version;
};

/// A submitted job is durable and must be forwarded to the owner of its shard. Can be emitted again for a job that the owner already
/// knows or has finished; the owner ignores such duplicates.
struct JobStored {
    JobRecord record;
};

/// A state change requested with Admission::updateState() is durable.
struct JobStateStored {
    JobId job;
    JobState state = JobState::Queued;
};

/// A state change requested with Admission::updateState() will not be written: the stored state does not permit the change, another
/// owner has recorded the start, the fence row has changed, or the job does not exist.
struct JobStateRefused {
    JobId job;
    JobState wanted = JobState::Queued;
    std::optional<JobState> stored; ///< Empty if the job does not exist or the fence row has changed.
    std::string reason;
    bool fenced = false; ///< The fence row no longer has the required version.
};

using AdmissionOutput = std::variant<StoreTransaction, StoreRead, CallerAnswer, JobStored, JobStateStored, JobStateRefused>;

class Admission
{
public:
    using NextOp = std::function<OpId()>;

    [[nodiscard]] static Result<std::unique_ptr<Admission>> create(const AdmissionSettings &settings, NextOp nextOp, TimePoint now);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /// Answered with JobAccepted once the job is durable, or with ErrorKind::Conflict if a job with this id and another spec
    /// exists. Conflicts and invalid input are answered with ExecutionStatus::NotRun, all other errors with ExecutionStatus::Unknown, even
    /// if this submission was never sent to the store: an earlier submission of the same id, here or at another daemon, may still take
    /// effect, and only inserting the job could rule that out.
    void submit(OpId op, const JobRecord &record, TimePoint now);
    /// Writes a new state of a stored job and, if the state is final, deletes the queue row of the job. Retried
    /// until the store replies, then answered with JobStateStored or JobStateRefused. Succeeded, Failed and Cancelled are never
    /// replaced. With a fence, the write takes effect only if that row still has the given version; otherwise the answer is
    /// JobStateRefused without a stored state. The fence prevents a former owner of a shard from recording the end of a job.
    void updateState(const JobId &job, JobState state, const std::string &reason, TimePoint now, const std::optional<RowFence> &fence = std::nullopt);
    /// Returns true if the reply belongs to an operation of this object.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<AdmissionOutput> takeOutputs();

    /// The number of submissions and state changes that are not durable yet.
    [[nodiscard]] std::size_t pending() const;

private:
    Admission();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
