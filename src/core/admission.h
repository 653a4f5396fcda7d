// Makes jobs and their states durable. Submissions and state changes are written in batches, one transaction at a time; a lost
// answer is settled by reading the rows back.
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
    Incarnation incarnation; ///< With self, marks the starts that this run recorded.
    std::uint64_t seed = 1;
    std::size_t maxRows = 200; ///< Rows written in one transaction and keys read at once.
    Duration flushInterval{5}; ///< The longest that work waits for more work of its batch.
    Duration operationTimeout{1500}; ///< A store operation without an answer after this span counts as StoreStatus::Unknown.
    Duration admissionTimeout{5000}; ///< A submission is answered within this span.
    Duration initialBackoff{50}; ///< After a lost answer; doubles up to maxBackoff.
    Duration maxBackoff{2000};
    Duration retryAfter{2000};
    std::size_t maxWaiting = 20000; ///< Submissions that wait; more are refused at once.
    std::size_t maxKnownRows = 5000; ///< Row versions kept in memory, about 1 KB each.
    bool readBackLostAnswers = true; ///< Only tests switch this off: a lost answer then counts as "not written".
};

/// A row that has to be at a version for a write to take effect.
struct RowFence {
    std::string table;
    std::string key;
    RowVersion version;
};

/// The job is durable and has to be forwarded to the owner of its shard. May be repeated for a job that the owner knows or
/// has finished meanwhile; the owner ignores these.
struct JobStored {
    JobRecord record;
};

/// The state given to Admission::record() is durable.
struct JobRecorded {
    JobId job;
    JobState state = JobState::Queued;
};

/// The state given to Admission::record() will not be written: the job already has a state that it must not replace, or the
/// start was recorded by another owner, or there is no such job.
struct JobRecordRefused {
    JobId job;
    JobState wanted = JobState::Queued;
    std::optional<JobState> stored; ///< Empty: there is no such job.
    std::string reason;
    bool fenced = false; ///< The row of the fence has changed.
};

using AdmissionOutput = std::variant<StoreTransact, StoreRead, CallerAnswer, JobStored, JobRecorded, JobRecordRefused>;

class Admission
{
public:
    using NextOp = std::function<OpId()>;

    [[nodiscard]] static Result<std::unique_ptr<Admission>> create(const AdmissionSettings &settings, NextOp nextOp, TimePoint now);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /// Answered by JobAccepted once the job is durable. ErrorKind::Conflict: the id belongs to another spec. Any other refusal
    /// is ExecutionStatus::Unknown: an earlier submission of the same id, here or at another daemon, may still take effect, and only an
    /// insert could rule that out.
    void submit(OpId op, const JobRecord &record, TimePoint now);
    /// Writes a new state of a stored job and, if it is final, removes the job from its shard's index. Answered by JobRecorded
    /// or JobRecordRefused, however long the store is down. Succeeded, Failed and Cancelled are never replaced.
    /// With a fence, the write takes effect only while that row has the stated version; otherwise the answer is
    /// JobRecordRefused without a stored state. A former owner of a shard is kept from recording ends this way.
    void record(const JobId &job, JobState state, const std::string &reason, TimePoint now, const std::optional<RowFence> &fence = std::nullopt);
    /// True if the operation was one of this object's.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<AdmissionOutput> takeOutputs();

    /// Submissions and state changes that are not durable yet.
    [[nodiscard]] std::size_t pending() const;

private:
    Admission();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
