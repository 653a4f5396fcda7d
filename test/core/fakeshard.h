// Test fixture: a shard controller with fake workers that implement the worker protocol: (epoch, sequence) order, leases and
// idempotent starts. It detects workers above their capacity, tasks that run twice, and teams above their allotment.
#pragma once

#include "core/shardcontroller.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace KingCupLadder {

inline Resources cores(std::int64_t count, std::int64_t slots = 0)
{
    return Resources{MilliCores(count * 1000), MebiBytes(count * 1024), Accelerators(0), Slots(slots)};
}

struct FakeWorker {
    VmInfo vm;
    Resources capacity = cores(4, 8);
    bool supportsEpochs = true;
    bool failsAll = false;
    Slots busySlots;
    std::pair<Epoch, Sequence> highestAccepted; ///< Lower batches are refused.
    std::map<TaskId, RunningTask> running;
    std::map<TaskId, TimePoint> leaseEnds;
    std::map<TaskId, EndedTask> ended;
    std::set<TaskId> everStarted;
    std::vector<TaskControl> controls;
    Duration lastRenewal{0};

    void end(const TaskId &id, TaskOutcome outcome)
    {
        if (running.count(id) > 0) {
            ended[id] = EndedTask{id, running[id].team, outcome, "by test"};
            running.erase(id);
            leaseEnds.erase(id);
        }
    }

    void expireLeases(TimePoint now)
    {
        const std::map<TaskId, TimePoint> ends = leaseEnds;
        for (const auto &[id, at] : ends) {
            if (now >= at) {
                end(id, TaskOutcome::Expired);
            }
        }
    }

    void start(const TaskStart &start, TimePoint now)
    {
        if (!everStarted.insert(start.id).second) {
            return;
        }
        running[start.id] = RunningTask{start.id, start.team, start.route, start.demand, {}, start.lease};
        if (start.lease > Duration(0)) {
            leaseEnds[start.id] = now + start.lease;
        }
        if (failsAll) {
            end(start.id, TaskOutcome::Failed);
        }
    }

    SyncReply handle(const SyncRequest &request, TimePoint now)
    {
        expireLeases(now);
        SyncReply reply;
        reply.refused = supportsEpochs && std::pair(request.epoch, request.sequence) < highestAccepted;
        reply.supportsEpochs = supportsEpochs;
        if (!reply.refused) {
            apply(request, now);
        }
        reply.epoch = highestAccepted.first;
        reply.sequence = highestAccepted.second;
        reply.capacity = capacity;
        reply.connections = 60;
        reply.busySlots = busySlots;
        reply.inventory = request.inventory;
        for (const auto &[id, task] : running) {
            reply.running.push_back(task);
        }
        for (const auto &[id, task] : ended) {
            reply.ended.push_back(task);
        }
        return reply;
    }

    void apply(const SyncRequest &request, TimePoint now)
    {
        highestAccepted = std::max(highestAccepted, std::pair(request.epoch, request.sequence));
        lastRenewal = request.renewLease;
        for (auto &[id, at] : leaseEnds) {
            at = request.renewLease > Duration(0) ? now + request.renewLease : at;
        }
        for (const TaskId &id : request.acknowledged) {
            ended.erase(id);
        }
        for (const TaskStart &task : request.starts) {
            start(task, now);
        }
        for (const TaskControl &control : request.controls) {
            controls.push_back(control);
            const bool ends = control.action == TaskAction::Stop || control.action == TaskAction::Checkpoint;
            if (ends) {
                end(control.id, control.action == TaskAction::Stop ? TaskOutcome::Stopped : TaskOutcome::Checkpointed);
            }
        }
    }
};

/// What happens to a batch that is sent to a worker.
enum class Delivery {
    Deliver,
    LoseReply, ///< The batch takes effect, but the reply is lost.
    Delay, ///< The reply is lost; the batch takes effect in deliverDelayed().
    Drop, ///< The batch has no effect and is not answered.
};

struct FakeShard {
    ShardSettings settings;
    TimePoint now{Duration(1000000)};
    std::unique_ptr<ShardController> controller;
    std::unique_ptr<ShardController> formerOwner; ///< Keeps sending after a take-over; the workers must fence it.
    std::map<WorkerId, FakeWorker> workers;
    std::map<WorkerId, Delivery> deliveries;
    std::vector<SyncWorker> delayed;
    std::vector<SyncWorker> sent; ///< All batches sent so far.
    std::vector<PersistJobState> persistedStates; ///< All job states that the controllers requested to persist.
    std::map<TeamId, Resources> allotments;
    bool storeAvailable = true; ///< Whether job states become durable at once.
    bool doubleRun = false;
    bool overCapacity = false;
    bool overAllotment = false;

    explicit FakeShard(int workerCount = 1, std::uint64_t epoch = 1)
    {
        settings.id = ShardId("pool/domain/0");
        settings.pool = PoolName("pool");
        settings.owner = DaemonId("d1");
        settings.epoch = Epoch(epoch);
        for (int i = 0; i < workerCount; ++i) {
            const WorkerId id("w" + std::to_string(i));
            workers[id].vm = VmInfo{id, "10.0.0.1:1", "g", FailureDomain("domain"), RackId("r"), false};
        }
    }

    void create(std::shared_ptr<const Tables> tables = nullptr)
    {
        controller = std::move(ShardController::create(settings, std::move(tables), now).value());
        controller->setLeaseConfirmed(true, now);
        setTeamAllotment(cores(1000, 1000));
        listVms();
    }

    void setTeamAllotment(const Resources &amount, const char *team = "a")
    {
        allotments[TeamId(team)] = amount;
        controller->setAllotment(TeamId(team), amount, now);
    }

    void listVms()
    {
        std::vector<VmInfo> vms;
        for (const auto &[id, worker] : workers) {
            vms.push_back(worker.vm);
        }
        controller->setWorkers(vms, now);
    }

    /// Whether each requested scan of the queue rows is completed at once and finds no further job, as if recover() had added all open jobs.
    bool completesQueueScans = true;

    /// Creates a controller without jobs that has read every worker.
    void createReady(std::shared_ptr<const Tables> tables = nullptr)
    {
        create(std::move(tables));
        controller->recover({}, now);
        run(20);
    }

    FakeWorker &worker(int number = 0)
    {
        return workers[WorkerId("w" + std::to_string(number))];
    }

    void setDelivery(int number, Delivery delivery)
    {
        deliveries[WorkerId("w" + std::to_string(number))] = delivery;
    }

    static JobSpec job(const char *id, std::uint32_t tasks = 1, const Resources &demand = cores(1))
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.team = TeamId("a");
        spec.pool = PoolName("pool");
        spec.taskCount = tasks;
        spec.demand = demand;
        return spec;
    }

    void enqueue(const JobSpec &spec)
    {
        (void)controller->enqueue(spec, now);
    }

    void run(int milliseconds)
    {
        for (int passed = 0; passed < milliseconds; passed += 10) {
            now += Duration(10);
            for (auto &[id, worker] : workers) {
                worker.expireLeases(now);
            }
            controller->tick(now);
            for (ShardOutput &output : controller->takeOutputs()) {
                if (auto *sync = std::get_if<SyncWorker>(&output)) {
                    transmit(*sync);
                } else if (const auto *wanted = std::get_if<PersistJobState>(&output)) {
                    persist(*wanted);
                } else if (completesQueueScans) {
                    controller->endQueueScan(controller->beginQueueScan(), now);
                }
            }
            runFormerOwner();
            checkInvariants();
        }
    }

    void runFormerOwner()
    {
        if (!formerOwner) {
            return;
        }
        formerOwner->tick(now);
        for (ShardOutput &output : formerOwner->takeOutputs()) {
            if (const auto *sync = std::get_if<SyncWorker>(&output)) {
                transmit(*sync, *formerOwner);
            }
        }
    }

    void persist(const PersistJobState &record)
    {
        persistedStates.push_back(record);
        if (storeAvailable) {
            controller->jobStatePersisted(record.job, record.state, now);
        }
    }

    void transmit(const SyncWorker &sync)
    {
        transmit(sync, *controller);
    }

    void transmit(const SyncWorker &sync, ShardController &sender)
    {
        sent.push_back(sync);
        const auto found = deliveries.find(sync.worker);
        const Delivery delivery = found == deliveries.end() ? Delivery::Deliver : found->second;
        const auto target = workers.find(sync.worker);
        WorkerReply reply{sync.op, sync.worker, std::nullopt};
        if (target != workers.end() && (delivery == Delivery::Deliver || delivery == Delivery::LoseReply)) {
            const SyncReply answer = target->second.handle(sync.request, now);
            if (delivery == Delivery::Deliver) {
                reply.reply = answer;
            }
        }
        if (delivery == Delivery::Delay) {
            delayed.push_back(sync);
        }
        sender.onWorkerReply(reply, now);
    }

    void deliverDelayed()
    {
        for (const SyncWorker &sync : delayed) {
            const auto target = workers.find(sync.worker);
            if (target != workers.end()) {
                (void)target->second.handle(sync.request, now);
            }
        }
        delayed.clear();
        checkInvariants();
    }

    void checkInvariants()
    {
        std::map<std::pair<JobId, std::uint32_t>, int> copies;
        std::map<TeamId, Resources> use;
        for (const auto &[id, worker] : workers) {
            Resources sum;
            for (const auto &[task, running] : worker.running) {
                sum += running.demand;
                use[running.team] += running.demand;
                doubleRun = doubleRun || ++copies[{task.job, task.index}] > 1;
            }
            overCapacity = overCapacity || !sum.fitsIn(worker.capacity);
        }
        for (const auto &[team, amount] : use) {
            overAllotment = overAllotment || !amount.fitsIn(allotments[team]);
        }
    }

    [[nodiscard]] int runningTasks() const
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : workers) {
            count += worker.running.size();
        }
        return static_cast<int>(count);
    }

    [[nodiscard]] std::string statesOf(const char *id) const
    {
        std::string states;
        for (const PersistJobState &record : persistedStates) {
            if (record.job == JobId(id)) {
                states += (states.empty() ? "" : ",") + std::string(toString(record.state));
            }
        }
        return states;
    }

    /// Ends every running task of the worker.
    void endAll(int number, TaskOutcome outcome)
    {
        endAll(worker(number), outcome);
    }

    static void endAll(FakeWorker &worker, TaskOutcome outcome)
    {
        const std::map<TaskId, RunningTask> running = worker.running;
        for (const auto &[id, task] : running) {
            worker.end(id, outcome);
        }
    }

    GrantSpec grantSpec(Duration term = Duration(1000)) const
    {
        GrantSpec result;
        result.route = RouteName("r");
        result.pool = settings.pool;
        result.team = TeamId("a");
        result.demand = cores(0, 1);
        result.term = term;
        return result;
    }
};

} // namespace KingCupLadder
