// State of the worker stand-in: tasks with leases, capacity, fencing of outdated commands, and a log that invariant checks read.
#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace KingCupLadder::StandIn {

/// Millicores, MiB of memory, accelerators and slots.
using ResourceAmounts = std::array<std::int64_t, 4>;

[[nodiscard]] ResourceAmounts amountsFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json amountsToJson(const ResourceAmounts &amounts);

struct WorkerSettings {
    std::string id = "w1";
    bool supportsEpochs = true; ///< Whether sync requests with a lower epoch or sequence number are refused.
    double timeScale = 1.0; ///< Divisor of the run times.
    ResourceAmounts capacity{16000, 65536, 0, 8};
    std::int64_t maxConnections = 60; ///< Open connections; an application request above it is logged as a violation.
    std::int64_t usageLagMs = 1000; ///< Time after its start from which a task reports usage.
    std::int64_t checkpointMs = 50; ///< Time from a checkpoint command to the end of its task.
};

/// Simulates the tasks of a worker. A payload that is a JSON object controls its task: {"actualRunMs": 100, "outcome": "failed",
/// "reason": "...", "usageFactor": 1.5}.
class TaskTable
{
public:
    explicit TaskTable(WorkerSettings settings);

    /// Executes the body of POST /v1/sync and returns the response body. Throws std::exception if the body is malformed.
    [[nodiscard]] nlohmann::json sync(const nlohmann::json &body, std::int64_t arrivedMs, std::int64_t nowMs, bool failAll);

    /// Occupies a slot for an application request. Returns the number to pass to endRequest(), or nullopt if no slot is free.
    [[nodiscard]] std::optional<std::size_t> beginRequest(const nlohmann::json &entry, std::int64_t nowMs);
    void endRequest(std::size_t number, std::int64_t nowMs);
    void recordViolation(const std::string &kind, const std::string &detail, std::int64_t nowMs);

    /// Returns the response body of GET /v1/log: {worker, violations, tasks, requests}, with times as returned by nowMs().
    [[nodiscard]] nlohmann::json log(std::int64_t nowMs);
    [[nodiscard]] const WorkerSettings &settings() const;

private:
    using Key = std::tuple<std::string, std::uint32_t, std::uint32_t>; ///< Job, task index and attempt.
    struct Task {
        nlohmann::json start; ///< The start command as received.
        ResourceAmounts demand{};
        std::size_t logIndex = 0; ///< Index in m_taskLog.
        std::int64_t startedMs = 0;
        std::int64_t resumedMs = 0; ///< When the task was started or last resumed.
        std::optional<std::int64_t> remainingMs; ///< Remaining run time at resumedMs; empty if the task runs until it is stopped.
        bool throttled = false;
        std::string outcome = "succeeded"; ///< Outcome at the end of the run time.
        std::string reason;
        double usageFactor = 0.6;
        std::int64_t leaseEndMs = 0; ///< 0 if the task has no lease.
        std::int64_t checkpointEndMs = 0; ///< When the checkpoint completes; 0 if none was requested.
    };
    struct TaskEnd {
        std::int64_t atMs = 0;
        std::string outcome;
        std::string reason;
    };

    [[nodiscard]] static Key keyOf(const nlohmann::json &task);
    [[nodiscard]] static std::string toString(const Key &key);
    [[nodiscard]] static std::optional<TaskEnd> nextEnd(const Task &task);
    void endDueTasks(std::int64_t nowMs);
    void endTask(const Key &key, const TaskEnd &taskEnd);
    void start(const nlohmann::json &json, std::int64_t arrivedMs, std::int64_t nowMs, bool failAll);
    /// Records a violation if the task was started before or another attempt of it is running.
    void recordDuplicateStarts(const Key &key, std::int64_t nowMs);
    [[nodiscard]] Task makeTask(const nlohmann::json &json, std::int64_t nowMs, bool failAll) const;
    void applyControl(const nlohmann::json &json, std::int64_t nowMs);
    void renewLeases(std::int64_t leaseMs, std::int64_t nowMs);
    [[nodiscard]] bool isStale(std::uint64_t epoch, std::uint64_t sequence) const;
    [[nodiscard]] ResourceAmounts committed() const;
    [[nodiscard]] nlohmann::json reply(bool refused, bool inventory, std::int64_t nowMs) const;

    WorkerSettings m_settings;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0; ///< Last sequence number within m_epoch.
    std::map<Key, Task> m_running;
    std::map<Key, nlohmann::json> m_ended; ///< Ended tasks that are not acknowledged yet.
    std::set<Key> m_started; ///< All tasks started since the process began.
    std::int64_t m_busySlots = 0; ///< Slots occupied by application requests.
    nlohmann::json m_taskLog = nlohmann::json::array();
    nlohmann::json m_requestLog = nlohmann::json::array();
    nlohmann::json m_violations = nlohmann::json::array();
};

} // namespace KingCupLadder::StandIn
