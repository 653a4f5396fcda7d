// Task execution of the worker stand-in. The end of a task is evaluated lazily at the next access and recorded with its due time.
#include "tasktable.h"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace KingCupLadder::StandIn {

namespace {

constexpr std::array<const char *, 4> amountNames{"milliCores", "memoryMiB", "accelerators", "slots"};
constexpr std::size_t slotIndex = 3; ///< Index of "slots" in amountNames.
constexpr std::int64_t failAllRunMs = 20; ///< Run time of a task in the fault mode "failall".

} // namespace

ResourceAmounts amountsFromJson(const nlohmann::json &json)
{
    ResourceAmounts amounts{};
    for (std::size_t i = 0; i < amounts.size(); ++i) {
        amounts.at(i) = json.value(amountNames.at(i), std::int64_t{0});
    }
    return amounts;
}

nlohmann::json amountsToJson(const ResourceAmounts &amounts)
{
    nlohmann::json json;
    for (std::size_t i = 0; i < amounts.size(); ++i) {
        json[amountNames.at(i)] = amounts.at(i);
    }
    return json;
}

TaskTable::TaskTable(WorkerSettings settings) : m_settings(std::move(settings)) { }

const WorkerSettings &TaskTable::settings() const
{
    return m_settings;
}

TaskTable::Key TaskTable::keyOf(const nlohmann::json &task)
{
    if (!task.is_string()) {
        return {task.at("job").get<std::string>(), task.at("index").get<std::uint32_t>(), task.at("attempt").get<std::uint32_t>()};
    }
    // The format is "job/index/attempt", and the job id may contain slashes.
    const std::string whole = task;
    const std::size_t last = whole.rfind('/');
    const std::size_t middle = last == std::string::npos || last == 0 ? std::string::npos : whole.rfind('/', last - 1);
    if (middle == std::string::npos) {
        throw std::invalid_argument("malformed task id " + whole);
    }
    const auto number = [&](std::size_t from) { return static_cast<std::uint32_t>(std::strtoul(whole.c_str() + from, nullptr, 10)); };
    return {whole.substr(0, middle), number(middle + 1), number(last + 1)};
}

std::string TaskTable::toString(const Key &key)
{
    return std::get<0>(key) + "/" + std::to_string(std::get<1>(key)) + "/" + std::to_string(std::get<2>(key));
}

std::optional<TaskTable::TaskEnd> TaskTable::nextEnd(const Task &task)
{
    std::optional<TaskEnd> first;
    const auto consider = [&](std::int64_t at, const char *outcome, const std::string &reason) {
        if (!first || at < first->atMs) {
            first = TaskEnd{at, outcome, reason};
        }
    };
    if (task.remainingMs && !task.throttled) {
        consider(task.resumedMs + *task.remainingMs, task.outcome.c_str(), task.reason);
    }
    if (task.leaseEndMs != 0) {
        consider(task.leaseEndMs, "expired", "the lease expired");
    }
    if (task.checkpointEndMs != 0) {
        consider(task.checkpointEndMs, "checkpointed", "");
    }
    return first;
}

void TaskTable::endDueTasks(std::int64_t nowMs)
{
    std::vector<std::pair<Key, TaskEnd>> due;
    for (const auto &[key, task] : m_running) {
        const auto taskEnd = nextEnd(task);
        if (taskEnd && taskEnd->atMs <= nowMs) {
            due.emplace_back(key, *taskEnd);
        }
    }
    for (const auto &[key, taskEnd] : due) {
        endTask(key, taskEnd);
    }
}

void TaskTable::endTask(const Key &key, const TaskEnd &taskEnd)
{
    const Task &task = m_running.at(key);
    nlohmann::json &entry = m_taskLog.at(task.logIndex);
    entry["endedMs"] = taskEnd.atMs;
    entry["outcome"] = taskEnd.outcome;
    m_ended[key] = {{"task", task.start}, {"outcome", taskEnd.outcome}, {"reason", taskEnd.reason}};
    m_running.erase(key);
}

ResourceAmounts TaskTable::committed() const
{
    ResourceAmounts sum{};
    sum.at(slotIndex) = m_busySlots;
    for (const auto &[key, task] : m_running) {
        std::transform(sum.begin(), sum.end(), task.demand.begin(), sum.begin(), std::plus<>());
    }
    return sum;
}

void TaskTable::recordViolation(const std::string &kind, const std::string &detail, std::int64_t nowMs)
{
    m_violations.push_back({{"atMs", nowMs}, {"kind", kind}, {"detail", detail}});
}

void TaskTable::recordDuplicateStarts(const Key &key, std::int64_t nowMs)
{
    if (!m_started.insert(key).second) {
        recordViolation("started twice", toString(key), nowMs);
    }
    const Key first{std::get<0>(key), std::get<1>(key), 0};
    for (auto task = m_running.lower_bound(first); task != m_running.end(); ++task) {
        if (std::get<0>(task->first) != std::get<0>(key) || std::get<1>(task->first) != std::get<1>(key)) {
            break;
        }
        recordViolation("two attempts at once", toString(key) + " and " + toString(task->first), nowMs);
    }
}

TaskTable::Task TaskTable::makeTask(const nlohmann::json &json, std::int64_t nowMs, bool failAll) const
{
    Task task;
    task.start = json;
    task.demand = amountsFromJson(json.at("demand"));
    task.startedMs = nowMs;
    task.resumedMs = nowMs;
    std::int64_t runMs = json.value("runMs", std::int64_t{0});
    const nlohmann::json payload = nlohmann::json::parse(json.value("payload", ""), nullptr, false);
    if (payload.is_object()) {
        runMs = payload.value("actualRunMs", runMs);
        task.outcome = payload.value("outcome", task.outcome);
        task.reason = payload.value("reason", task.reason);
        task.usageFactor = payload.value("usageFactor", task.usageFactor);
    }
    if (runMs > 0) {
        task.remainingMs = static_cast<std::int64_t>(static_cast<double>(runMs) / m_settings.timeScale);
    }
    if (failAll) {
        task.remainingMs = failAllRunMs;
        task.outcome = "failed";
        task.reason = "the fault mode failall is set";
    }
    const std::int64_t leaseMs = json.value("leaseMs", std::int64_t{0});
    task.leaseEndMs = leaseMs > 0 ? nowMs + leaseMs : 0;
    return task;
}

void TaskTable::start(const nlohmann::json &json, std::int64_t arrivedMs, std::int64_t nowMs, bool failAll)
{
    const Key key = keyOf(json);
    const std::int64_t voidAfter = json.value("voidAfterMs", std::int64_t{0});
    // The sender has given up a start that is older than voidAfterMs.
    const bool isVoid = voidAfter > 0 && nowMs - arrivedMs > voidAfter;
    if (m_running.count(key) != 0 || m_ended.count(key) != 0 || isVoid) {
        return;
    }
    recordDuplicateStarts(key, nowMs);
    Task task = makeTask(json, nowMs, failAll);
    task.logIndex = m_taskLog.size();
    const ResourceAmounts used = committed();
    bool fits = true;
    for (std::size_t i = 0; i < used.size(); ++i) {
        fits = fits && used.at(i) + task.demand.at(i) <= m_settings.capacity.at(i);
    }
    m_taskLog.push_back({{"job", json.at("job")},
                         {"index", json.at("index")},
                         {"attempt", json.at("attempt")},
                         {"team", json.value("team", "")},
                         {"demand", json.at("demand")},
                         {"epoch", m_epoch},
                         {"startedMs", nowMs},
                         {"endedMs", nullptr},
                         {"outcome", nullptr}});
    m_running.emplace(key, std::move(task));
    if (!fits) {
        recordViolation("over capacity", toString(key), nowMs);
        endTask(key, TaskEnd{nowMs, "failed", "the task exceeds the free capacity of the worker"});
    }
}

void TaskTable::applyControl(const nlohmann::json &json, std::int64_t nowMs)
{
    const Key key = keyOf(json.at("task"));
    const std::string action = json.at("how");
    const auto found = m_running.find(key);
    if (found == m_running.end()) {
        return;
    }
    Task &task = found->second;
    if (action == "stop") {
        endTask(key, TaskEnd{nowMs, "stopped", ""});
    } else if (action == "checkpoint" && task.checkpointEndMs == 0) {
        task.checkpointEndMs = nowMs + m_settings.checkpointMs;
    } else if (action == "throttle" && !task.throttled) {
        task.throttled = true;
        task.remainingMs = task.remainingMs ? std::optional(*task.remainingMs - (nowMs - task.resumedMs)) : std::nullopt;
    } else if (action == "resume" && task.throttled) {
        task.throttled = false;
        task.resumedMs = nowMs;
    }
}

void TaskTable::renewLeases(std::int64_t leaseMs, std::int64_t nowMs)
{
    for (auto &[key, task] : m_running) {
        if (task.leaseEndMs != 0 && leaseMs > 0) {
            task.leaseEndMs = std::max(task.leaseEndMs, nowMs + leaseMs);
        }
    }
}

bool TaskTable::isStale(std::uint64_t epoch, std::uint64_t sequence) const
{
    // A repeated sync request is accepted; start() ignores tasks that are running or whose end is not acknowledged.
    return m_settings.supportsEpochs && std::pair(epoch, sequence) < std::pair(m_epoch, m_sequence);
}

nlohmann::json TaskTable::sync(const nlohmann::json &body, std::int64_t arrivedMs, std::int64_t nowMs, bool failAll)
{
    endDueTasks(nowMs);
    const std::uint64_t epoch = body.value("epoch", std::uint64_t{0});
    const std::uint64_t sequence = body.value("sequence", std::uint64_t{0});
    const bool inventory = body.value("inventory", false);
    if (isStale(epoch, sequence)) {
        return reply(true, inventory, nowMs);
    }
    m_epoch = epoch;
    m_sequence = sequence;
    renewLeases(body.value("leaseMs", std::int64_t{0}), nowMs);
    const nlohmann::json none = nlohmann::json::array();
    for (const nlohmann::json &task : body.value("acks", none)) {
        m_ended.erase(keyOf(task));
    }
    // Stops are applied before starts so that one sync request can replace a task by another in the same capacity.
    for (const nlohmann::json &control : body.value("stops", none)) {
        applyControl(control, nowMs);
    }
    for (const nlohmann::json &task : body.value("starts", none)) {
        start(task, arrivedMs, nowMs, failAll);
    }
    return reply(false, inventory, nowMs);
}

nlohmann::json TaskTable::reply(bool refused, bool inventory, std::int64_t nowMs) const
{
    nlohmann::json capacity = amountsToJson(m_settings.capacity);
    capacity["connections"] = m_settings.maxConnections;
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[key, task] : m_running) {
        if (!inventory) {
            break;
        }
        ResourceAmounts usage{};
        if (nowMs - task.startedMs >= m_settings.usageLagMs) {
            const double factor = task.throttled ? 0.0 : task.usageFactor;
            std::transform(task.demand.begin(), task.demand.end(), usage.begin(), [factor](std::int64_t amount) {
                return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
            });
        }
        running.push_back(task.start);
        running.back()["usage"] = amountsToJson(usage);
    }
    nlohmann::json ended = nlohmann::json::array();
    for (const auto &[key, entry] : m_ended) {
        ended.push_back(entry);
    }
    return {{"worker", m_settings.id},
            {"accepted", !refused},
            {"refused", refused},
            {"epoch", m_epoch},
            {"sequence", m_sequence},
            {"supportsEpochs", m_settings.supportsEpochs},
            {"capacity", capacity},
            {"inventory", inventory},
            {"running", running},
            {"ended", ended},
            {"busySlots", m_busySlots}};
}

std::optional<std::size_t> TaskTable::beginRequest(const nlohmann::json &entry, std::int64_t nowMs)
{
    endDueTasks(nowMs);
    m_requestLog.push_back(entry);
    nlohmann::json &logged = m_requestLog.back();
    logged["beganMs"] = nowMs;
    logged["endedMs"] = nullptr;
    if (committed().at(slotIndex) >= m_settings.capacity.at(slotIndex)) {
        recordViolation("no free slot", entry.value("requestId", ""), nowMs);
        logged["endedMs"] = nowMs;
        return std::nullopt;
    }
    ++m_busySlots;
    return m_requestLog.size() - 1;
}

void TaskTable::endRequest(std::size_t number, std::int64_t nowMs)
{
    --m_busySlots;
    m_requestLog.at(number)["endedMs"] = nowMs;
}

nlohmann::json TaskTable::log(std::int64_t nowMs)
{
    endDueTasks(nowMs);
    return {{"worker", m_settings.id}, {"violations", m_violations}, {"tasks", m_taskLog}, {"requests", m_requestLog}};
}

} // namespace KingCupLadder::StandIn
