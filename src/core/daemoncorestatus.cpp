// Status and metrics of the daemon.
#include "daemoncore_p.h"

#include <nlohmann/json.hpp>

namespace KingCupLadder {

namespace {

using Json = nlohmann::json;

Json resourcesJson(const Resources &r)
{
    return {{"milliCores", r.cpu.value()}, {"memoryMiB", r.memory.value()}, {"accelerators", r.accelerators.value()}, {"slots", r.slots.value()}};
}

std::string serialize(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json workerJson(const WorkerStatus &worker)
{
    return {{"id", worker.id.value()},
            {"phase", worker.phase},
            {"reason", worker.reason},
            {"capacity", resourcesJson(worker.capacity)},
            {"committed", resourcesJson(worker.committed)},
            {"tasks", worker.tasks}};
}

void addResourceMetrics(std::vector<Metric> &metrics, const std::string &name, const std::string &labels, const Resources &r)
{
    metrics.push_back(Metric{name + "_millicores", labels, static_cast<double>(r.cpu.value())});
    metrics.push_back(Metric{name + "_memory_mebibytes", labels, static_cast<double>(r.memory.value())});
    metrics.push_back(Metric{name + "_accelerators", labels, static_cast<double>(r.accelerators.value())});
    metrics.push_back(Metric{name + "_slots", labels, static_cast<double>(r.slots.value())});
}

} // namespace

std::string DaemonCore::Private::status(const std::string &topic, TimePoint now) const
{
    if (topic == "daemon") {
        Json peers = Json::array();
        for (const PeerInfo &peer : membership.livePeers(now)) {
            peers.push_back(peer.id.value());
        }
        return serialize({{"id", settings.self.id.value()},
                          {"domain", settings.self.domain.value()},
                          {"httpAddress", settings.self.httpAddress},
                          {"ready", !stopping && currentTables != nullptr},
                          {"tables", config.version(ConfigKind::Tables).value()},
                          {"keys", config.version(ConfigKind::Keys).value()},
                          {"stopping", stopping},
                          {"leaseConfirmed", ownership->leaseConfirmed(now)},
                          {"storeAgeMs", storeAge(now).count()},
                          {"keysAgeMs", config.keysAge(now).count()},
                          {"livePeers", peers},
                          {"shards", shards.size()},
                          {"waitingRequests", grantClient.waiting()},
                          {"undeliveredJobs", jobForwarder.undelivered()}});
    }
    if (topic == "config") {
        return serialize({{"tables", config.version(ConfigKind::Tables).value()}, {"keys", config.version(ConfigKind::Keys).value()}});
    }
    if (topic == "shards") {
        Json list = Json::array();
        for (const auto &[id, owned] : shards) {
            list.push_back({{"id", id.value()},
                            {"owner", settings.self.id.value()},
                            {"epoch", owned.epoch.value()},
                            {"suspended", owned.suspended},
                            {"capacity", resourcesJson(owned.controller->capacity())},
                            {"free", resourcesJson(owned.controller->freeResources())},
                            {"queuedTasks", owned.controller->queuedTasks()},
                            {"workers", owned.workers.size()}});
        }
        return serialize(list);
    }
    if (topic == "vms" || topic == "quarantine") {
        Json list = Json::array();
        for (const auto &[id, owned] : shards) {
            for (const WorkerStatus &worker : owned.controller->workers()) {
                if (topic == "vms" || worker.phase == "quarantined" || worker.phase == "probation") {
                    Json entry = workerJson(worker);
                    entry["shard"] = id.value();
                    list.push_back(std::move(entry));
                }
            }
        }
        return serialize(list);
    }
    if (topic == "teams") {
        Json list = Json::array();
        for (const auto &[id, owned] : shards) {
            for (const TeamUse &use : owned.controller->teams()) {
                list.push_back({{"team", use.team.value()},
                                {"shard", id.value()},
                                {"running", resourcesJson(use.running)},
                                {"reservedUnread", resourcesJson(use.reservedUnread)},
                                {"allotment", resourcesJson(use.allotment)},
                                {"queuedTasks", use.queuedTasks}});
            }
        }
        return serialize(list);
    }
    const std::string explain = "explain/";
    if (topic.compare(0, explain.size(), explain) == 0) {
        const JobId job(topic.substr(explain.size()));
        for (const auto &[id, owned] : shards) {
            if (owned.controller->hasJob(job)) {
                return serialize({{"job", job.value()}, {"shard", id.value()}, {"explanation", owned.controller->explain(job)}});
            }
        }
    }
    return "{}";
}

std::vector<Metric> DaemonCore::metrics(TimePoint now) const
{
    std::vector<Metric> metrics;
    metrics.push_back(Metric{"tables_version", "", static_cast<double>(tablesVersion().value())});
    metrics.push_back(Metric{"keys_version", "", static_cast<double>(keysVersion().value())});
    metrics.push_back(Metric{"keys_age_ms", "", static_cast<double>(d->config.keysAge(now).count())});
    metrics.push_back(Metric{"store_age_ms", "", static_cast<double>(d->storeAge(now).count())});
    metrics.push_back(Metric{"lease_confirmed", "", d->ownership->leaseConfirmed(now) ? 1.0 : 0.0});
    metrics.push_back(Metric{"owned_shards", "", static_cast<double>(d->shards.size())});
    metrics.push_back(Metric{"waiting_requests", "", static_cast<double>(d->grantClient.waiting())});
    for (const auto &[id, owned] : d->shards) {
        const std::string labels = "shard=\"" + id.value() + "\"";
        const ShardCounters counters = owned.controller->counters();
        metrics.push_back(Metric{"task_starts_total", labels, static_cast<double>(counters.taskStarts)});
        metrics.push_back(Metric{"task_ends_total", labels, static_cast<double>(counters.taskEnds)});
        metrics.push_back(Metric{"preemptions_total", labels, static_cast<double>(counters.preemptions)});
        metrics.push_back(Metric{"grants_total", labels, static_cast<double>(counters.grants)});
        metrics.push_back(Metric{"grant_refusals_total", labels, static_cast<double>(counters.grantRefusals)});
        metrics.push_back(Metric{"worker_syncs_total", labels, static_cast<double>(counters.syncs)});
        metrics.push_back(Metric{"queued_tasks", labels, static_cast<double>(owned.controller->queuedTasks())});
        addResourceMetrics(metrics, "capacity", labels, owned.controller->capacity());
        addResourceMetrics(metrics, "free", labels, owned.controller->freeResources());
        for (const TeamUse &use : owned.controller->teams()) {
            addResourceMetrics(metrics, "team_use", labels + ",team=\"" + use.team.value() + "\"", use.running);
        }
    }
    return metrics;
}

} // namespace KingCupLadder
