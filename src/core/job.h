// Jobs and tasks: the specification and state of a job, and the identity of each attempt to run a task.
#pragma once

#include "ids.h"
#include "resources.h"
#include "units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>

namespace KingCupLadder {

enum class WorkClass {
    Request, ///< An HTTP request that is forwarded to an upstream.
    Batch, ///< Runs to completion.
    Service, ///< Runs until it is cancelled.
};

enum class Priority {
    Normal,
    Urgent, ///< Starts within the time bound for urgent work, by preemption if necessary.
};

/// What happens to a task when its failure domain is partitioned from the others.
enum class PartitionPolicy {
    Stay, ///< The task has no lease and keeps running. It is not placed elsewhere until it is known to have stopped.
    Move, ///< The task stops itself when its lease expires and may then be placed elsewhere.
};

/// Identifies one attempt to run one task of a job. Never reused.
struct TaskId {
    JobId job;
    std::uint32_t index = 0; ///< From 0 to taskCount - 1.
    std::uint32_t attempt = 1; ///< Incremented for each new placement of the same index.

    /// Returns "job/index/attempt".
    [[nodiscard]] std::string text() const;

    /// The inverse of text(). Returns an empty optional if the text is malformed.
    [[nodiscard]] static std::optional<TaskId> fromText(const std::string &text);

    friend bool operator==(const TaskId &a, const TaskId &b)
    {
        return a.index == b.index && a.attempt == b.attempt && a.job == b.job;
    }
    friend bool operator!=(const TaskId &a, const TaskId &b)
    {
        return !(a == b);
    }
    friend bool operator<(const TaskId &a, const TaskId &b)
    {
        return std::tie(a.job, a.index, a.attempt) < std::tie(b.job, b.index, b.attempt);
    }
    friend std::ostream &operator<<(std::ostream &out, const TaskId &id)
    {
        return out << id.text();
    }
};

/// The specification of a job as submitted, completed with the defaults of its route. Immutable after admission.
struct JobSpec {
    JobId id;
    TeamId team;
    WorkspaceId workspace;
    RouteName route;
    PoolName pool;
    WorkClass workClass = WorkClass::Batch;
    Priority priority = Priority::Normal;
    PartitionPolicy partition = PartitionPolicy::Stay;
    bool allAtOnce = false; ///< Gang scheduling: all tasks start together or none does.
    bool startOnce = false; ///< A task is never started a second time, not even if its outcome is unknown.
    std::uint32_t taskCount = 1;
    Resources demand; ///< Declared demand of each task.
    Duration declaredRunTime{0}; ///< Declared run time of each task; 0 if not declared. May be inaccurate.
    std::string payload; ///< Passed to the worker unchanged.

    friend bool operator==(const JobSpec &a, const JobSpec &b);
    friend bool operator!=(const JobSpec &a, const JobSpec &b)
    {
        return !(a == b);
    }
};

enum class JobState {
    Queued, ///< Admitted and not finished; tasks may be waiting or running.
    Started, ///< Only for startOnce jobs: the start is recorded, and the tasks may have been dispatched.
    Succeeded,
    Failed,
    Cancelled,
    Parked, ///< Not retried automatically; JobRecord::reason says why.
};

[[nodiscard]] const char *toString(WorkClass workClass);
[[nodiscard]] const char *toString(Priority priority);
[[nodiscard]] const char *toString(PartitionPolicy policy);
[[nodiscard]] const char *toString(JobState state);
[[nodiscard]] std::optional<WorkClass> workClassFromString(const std::string &text);
[[nodiscard]] std::optional<JobState> jobStateFromString(const std::string &text);

/// Returns true if the state is final: no task of the job will start again.
[[nodiscard]] bool isFinal(JobState state);

/// The stored form of a job: the value of the row "jobs/<id>".
struct JobRecord {
    JobSpec spec;
    ShardId shard; ///< The shard whose owner places the job.
    JobState state = JobState::Queued;
    std::string reason; ///< Why the job failed or is parked.
    /// The shard epoch in which the job was admitted. Owners up to this epoch may have started tasks of the job, so an owner of a later
    /// epoch treats the tasks as possibly running until it has read the inventory of every worker.
    Epoch epoch{};

    /// Returns JSON text. Equal records have equal texts.
    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] static std::optional<JobRecord> fromJson(const std::string &text);
};

} // namespace KingCupLadder

namespace std {
template<>
struct hash<KingCupLadder::TaskId> {
    size_t operator()(const KingCupLadder::TaskId &id) const noexcept
    {
        constexpr size_t hashMultiplier = 0x9e3779b97f4a7c15U; // 2^64 divided by the golden ratio.
        return hash<string>()(id.job.value()) ^ (hashMultiplier * ((static_cast<size_t>(id.index) << 16U) + id.attempt));
    }
};
} // namespace std
