// What a worker runs: tasks under leases, its capacity, the order of commands, and a log of everything for checkers.
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

/// Thousandths of cores, MiB of memory, accelerators, slots.
using ResourceAmounts = std::array<std::int64_t, 4>;

[[nodiscard]] ResourceAmounts amountsFromJson(const nlohmann::json &json);
[[nodiscard]] nlohmann::json amountsToJson(const ResourceAmounts &amounts);

struct WorkerSettings {
    std::string id = "w1";
    bool epochs = true;
    double timeScale = 1.0; ///< Run times are divided by it.
    ResourceAmounts capacity{16000, 65536, 0, 8};
    std::int64_t connections = 60;
    std::int64_t usageLagMs = 1000; ///< A task reports no usage before this span.
    std::int64_t checkpointMs = 50;
};

/// A payload that is a JSON object may steer its task: {"actualRunMs": 100, "outcome": "failed", "reason": "...",
/// "usageFactor": 1.5}.
class TaskTable
{
public:
    explicit TaskTable(WorkerSettings settings);

    /// POST /v1/sync, body in and body out. Throws std::exception if the body is malformed.
    [[nodiscard]] nlohmann::json sync(const nlohmann::json &body, std::int64_t arrivedMs, std::int64_t nowMs, bool failAll);

    /// A request of the application begins; empty: no slot is free. The number is for endRequest().
    [[nodiscard]] std::optional<std::size_t> beginRequest(const nlohmann::json &entry, std::int64_t nowMs);
    void endRequest(std::size_t number, std::int64_t nowMs);
    void recordViolation(const std::string &kind, const std::string &detail, std::int64_t nowMs);

    /// GET /v1/log: {worker, violations, tasks, requests}; times in milliseconds of the machine's monotonic clock.
    [[nodiscard]] nlohmann::json log(std::int64_t nowMs);
    [[nodiscard]] const WorkerSettings &settings() const;

private:
    using Key = std::tuple<std::string, std::uint32_t, std::uint32_t>; ///< Job, index, attempt.
    struct Task {
        nlohmann::json start; ///< As sent.
        ResourceAmounts demand{};
        std::size_t logIndex = 0;
        std::int64_t startedMs = 0;
        std::int64_t resumedMs = 0; ///< Since when it runs unthrottled.
        std::optional<std::int64_t> remainingMs; ///< Run time left at resumedMs; empty: runs until it is stopped.
        bool throttled = false;
        std::string outcome = "succeeded"; ///< When the run time is over.
        std::string reason;
        double usageFactor = 0.6;
        std::int64_t leaseEndMs = 0; ///< 0: no lease end.
        std::int64_t checkpointedMs = 0; ///< When the checkpoint is complete; 0: none.
    };
    struct TaskEnd {
        std::int64_t atMs = 0;
        std::string outcome;
        std::string reason;
    };

    [[nodiscard]] static Key keyOf(const nlohmann::json &task);
    [[nodiscard]] static std::string text(const Key &key);
    [[nodiscard]] static std::optional<TaskEnd> nextEnd(const Task &task);
    void endDueTasks(std::int64_t nowMs);
    void endTask(const Key &key, const TaskEnd &taskEnd);
    void start(const nlohmann::json &json, std::int64_t arrivedMs, std::int64_t nowMs, bool failAll);
    void checkDuplicates(const Key &key, std::int64_t nowMs);
    [[nodiscard]] Task makeTask(const nlohmann::json &json, std::int64_t nowMs, bool failAll) const;
    void applyControl(const nlohmann::json &json, std::int64_t nowMs);
    void renewLeases(std::int64_t leaseMs, std::int64_t nowMs);
    [[nodiscard]] bool isStale(std::uint64_t epoch, std::uint64_t sequence) const;
    [[nodiscard]] ResourceAmounts committed() const;
    [[nodiscard]] nlohmann::json reply(bool refused, bool inventory, std::int64_t nowMs) const;

    WorkerSettings m_settings;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0; ///< Of m_epoch.
    std::map<Key, Task> m_running;
    std::map<Key, nlohmann::json> m_ended; ///< Not acknowledged.
    std::set<Key> m_started; ///< Every start since the process began.
    std::int64_t m_busySlots = 0; ///< Requests of the application.
    nlohmann::json m_taskLog = nlohmann::json::array();
    nlohmann::json m_requestLog = nlohmann::json::array();
    nlohmann::json m_violations = nlohmann::json::array();
};

} // namespace KingCupLadder::StandIn
