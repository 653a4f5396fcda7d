// Jobs and tasks: what is asked for, and the identity of each attempt to run it.
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
    Request, ///< Forwarded to the HTTP application of an upstream.
    Batch, ///< Runs to its end.
    Service, ///< Runs until it is cancelled.
};

enum class Priority {
    Normal,
    Urgent, ///< Starts within the urgent bound, if needed by preemption.
};

/// What becomes of a task whose failure domain is cut off.
enum class PartitionPolicy {
    Stay, ///< The task has no lease end and runs on; it is not placed elsewhere before it is proved stopped.
    Move, ///< The task stops itself when its lease ends and may then be placed elsewhere.
};

/// One attempt to run one task of a job. Never reused.
struct TaskId {
    JobId job;
    std::uint32_t index = 0; ///< From 0 to taskCount - 1.
    std::uint32_t attempt = 1; ///< Grows by one for each new placement of the same index.

    /// "job/index/attempt".
    [[nodiscard]] std::string text() const;

    /// The inverse of text(); empty if the text is malformed.
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

/// What a submitter asks for, completed from its route. Never changes after admission.
struct JobSpec {
    JobId id;
    TeamId team;
    WorkspaceId workspace;
    RouteName route;
    PoolName pool;
    WorkClass workClass = WorkClass::Batch;
    Priority priority = Priority::Normal;
    PartitionPolicy partition = PartitionPolicy::Stay;
    bool allAtOnce = false; ///< All tasks start together or none does.
    bool startOnce = false; ///< A task is never started a second time, also when its outcome is unknown.
    std::uint32_t taskCount = 1;
    Resources demand; ///< Of each task, as declared.
    Duration declaredRunTime{0}; ///< Of each task; 0 if not declared. May be far off.
    std::string payload; ///< Passed to the worker as it is.

    friend bool operator==(const JobSpec &a, const JobSpec &b);
    friend bool operator!=(const JobSpec &a, const JobSpec &b)
    {
        return !(a == b);
    }
};

enum class JobState {
    Queued, ///< Admitted; also while some or all of its tasks run.
    Started, ///< Only for startOnce jobs: the start is recorded and dispatch may have happened.
    Succeeded,
    Failed,
    Cancelled,
    Parked, ///< Not tried again by itself; the reason says why.
};

[[nodiscard]] const char *toString(WorkClass workClass);
[[nodiscard]] const char *toString(Priority priority);
[[nodiscard]] const char *toString(PartitionPolicy policy);
[[nodiscard]] const char *toString(JobState state);
[[nodiscard]] std::optional<WorkClass> workClassFromString(const std::string &text);
[[nodiscard]] std::optional<JobState> jobStateFromString(const std::string &text);

/// True if the state is final: nothing of the job will start again.
[[nodiscard]] bool isFinal(JobState state);

/// The stored form of a job: the value of row "jobs/<id>".
struct JobRecord {
    JobSpec spec;
    ShardId shard; ///< The shard whose owner places the job.
    JobState state = JobState::Queued;
    std::string reason; ///< Why it failed or is parked.
    /// The ownership term for which the job was admitted. Owners of this term or an earlier one may have started it; an owner of
    /// a later term treats its tasks as possibly running.
    Epoch epoch;

    /// JSON text; two equal records have equal texts.
    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] static std::optional<JobRecord> fromJson(const std::string &text);
};

} // namespace KingCupLadder

namespace std {
template<>
struct hash<KingCupLadder::TaskId> {
    size_t operator()(const KingCupLadder::TaskId &id) const noexcept
    {
        constexpr size_t mix = 0x9e3779b97f4a7c15U;
        return hash<string>()(id.job.value()) ^ (mix * ((static_cast<size_t>(id.index) << 16U) + id.attempt));
    }
};
} // namespace std
