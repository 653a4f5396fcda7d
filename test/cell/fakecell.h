// A CellScheduler with fake workers and a fake policy service on a simulated clock. The workers implement the worker protocol:
// fencing tokens, leases, increasing run numbers, and ends that stay listed until they are acknowledged. FakeCell records violations
// of these invariants: no task runs twice at the same time, no task starts after its success was acknowledged, no start brings a worker
// over its capacity, and no job fails without cause.
#pragma once

#include "cell/cellscheduler.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Fails with the first recorded violation of an invariant.
#define CHECK_NO_VIOLATION(cell) STRCMP_EQUAL("", ((cell).violations.empty() ? std::string() : (cell).violations.front()).c_str())

namespace KingCupLadder {

/// Returns resources with the given CPU in millicores, memory in MiB, and no accelerators or slots.
inline Resources cellResources(std::int64_t milliCores, std::int64_t memory = 100)
{
    return Resources{MilliCores(milliCores), MebiBytes(memory), Accelerators(0), Slots(0)};
}

/// Returns a job with one step of @p tasks tasks.
inline CellJob cellJob(const std::string &id, int tasks, std::int64_t milliCores, Duration estimate = Duration(1000), const std::string &route = "batch")
{
    CellJob job;
    job.id = JobId(id);
    job.route = RouteName(route);
    job.workspace = WorkspaceId("museum");
    job.payload = "payload of " + id;
    StepSpec step;
    step.count = tasks;
    step.demand = cellResources(milliCores);
    step.estimate = estimate;
    job.steps.push_back(step);
    return job;
}

/// A run on a fake worker.
struct FakeCellRun {
    RunNumber number;
    TimePoint ends;
    StartOrder order;
    bool gang = false;
    TimePoint started;
    Duration workBefore{0}; ///< Work that is contained in the checkpoint from which the run was started.

    /// The checkpoint that the run saves when it is stopped at @p now.
    [[nodiscard]] std::string checkpointAt(TimePoint now) const
    {
        return std::to_string((workBefore + (now - started)).count());
    }

    int percentBefore = 0; ///< Progress at percentSince.
    TimePoint percentSince; ///< When the run started, or when the worker's speed last changed.

    [[nodiscard]] int percent(TimePoint now) const
    {
        const Duration span = ends - percentSince;
        return span > Duration(0) ? std::min(percentBefore + static_cast<int>((now - percentSince) * (100 - percentBefore) / span), 99) : 0;
    }
};

/// A fake worker.
class FakeCellWorker
{
public:
    WorkerInfo info;
    Epoch highestFencingToken; ///< Orders with a lower token are rejected.
    TimePoint leaseEnd;
    bool reachable = true; ///< If false, orders get no answer and have no effect.
    bool crashed = false;
    bool isReplaced = false; ///< Crashed, and another worker with its address rejects the orders that are sent to this one.
    TimePoint listedUntil; ///< While crashed: the registry entry stays, unchanged, until then.
    /// Capacities that were replaced, and when.
    std::vector<std::pair<TimePoint, Resources>> formerCapacities;
    bool failsAll = false; ///< Every run fails immediately.
    double slowness = 1; ///< A run takes this many times its duration; see changeSlowness().
    std::map<TaskRef, FakeCellRun> running;
    std::map<TaskRef, RunNumber> highestRun; ///< Highest run number that was stopped or has ended.
    std::vector<EndedEntry> ended;
    EndNumber lastEnd;
    EndNumber acknowledged;
    EndNumber lastEndBeforeLapse; ///< Last end when the lease was last found expired.
    TimePoint present; ///< Set by FakeCell in each step.
    TimePoint startedAt{Duration(-5000000)}; ///< When the present incarnation started.

    /// The worker's clock, which starts anew with each incarnation.
    [[nodiscard]] WorkerClockMs clock(TimePoint now) const
    {
        return (now - startedAt).count();
    }

    /// Extends the lease of all runs, up to @p deadline on the worker's clock and at most to the longest lease from @p now. It is not known for
    /// which incarnation the order was meant.
    void extendLease(WorkerClockMs deadline, TimePoint now, Duration maxLease)
    {
        leaseEnd = std::max(leaseEnd, now + std::min(Duration(deadline - clock(now)), maxLease));
    }

    /// Changes the capacity while the worker runs. The registry shows the change when it is read the next time.
    void changeCapacity(const Resources &capacity, TimePoint now)
    {
        formerCapacities.emplace_back(now, info.capacity);
        info.capacity = capacity;
    }

    /// Returns the capacity that a start at @p now has to respect. A capacity that was replaced less than @p grace ago is still allowed,
    /// since the scheduler may not know of the change.
    [[nodiscard]] Resources capacityLimit(TimePoint now, Duration grace) const
    {
        Resources limit = info.capacity;
        for (const auto &[replacedAt, capacity] : formerCapacities) {
            if (now <= replacedAt + grace) {
                limit.cpu = std::max(limit.cpu, capacity.cpu);
                limit.memory = std::max(limit.memory, capacity.memory);
                limit.accelerators = std::max(limit.accelerators, capacity.accelerators);
                limit.slots = std::max(limit.slots, capacity.slots);
            }
        }
        return limit;
    }

    /// Changes the speed of the worker, also for the rest of its runs.
    void changeSlowness(double changed, TimePoint now)
    {
        for (auto &[task, run] : running) {
            const int percent = run.percent(now);
            run.ends = now + Duration(static_cast<std::int64_t>(static_cast<double>((run.ends - now).count()) * changed / slowness));
            run.percentBefore = percent;
            run.percentSince = now;
        }
        slowness = changed;
    }

    void end(const TaskRef &task, RunEnd outcome, const std::string &checkpoint = std::string())
    {
        const auto run = running.find(task);
        if (run == running.end()) {
            return;
        }
        lastEnd = lastEnd.next();
        ended.push_back(EndedEntry{lastEnd, task, run->second.number, outcome, checkpoint});
        highestRun[task] = run->second.number;
        running.erase(run);
    }

    /// Replaces the process by a new incarnation without any state.
    void restart()
    {
        running.clear();
        highestRun.clear();
        ended.clear();
        lastEnd = EndNumber();
        acknowledged = EndNumber();
        lastEndBeforeLapse = EndNumber();
        highestFencingToken = Epoch();
        info.incarnation = info.incarnation.next();
        info.sequence = 1;
        startedAt = present;
        leaseEnd = TimePoint();
    }
};

/// A cell with its scheduler, workers, store and policy service, advanced in steps of simulated time.
class FakeCell
{
public:
    explicit FakeCell(int workerCount, std::int64_t milliCores = 4000)
    {
        config = std::make_shared<CellConfig>();
        config->version = ConfigVersion(1);
        addRoute("batch", 1);
        addRoute("urgent", 0);
        config->upstreams.push_back(CellUpstream{UpstreamName("desk"), false, false});
        config->workspaces.push_back(Workspace{WorkspaceId("museum"), {"key"}, 1000, Resources{}});
        for (int i = 0; i < workerCount; ++i) {
            FakeCellWorker worker;
            worker.info.id = WorkerId("w" + std::to_string(i));
            worker.info.vm = VmId("vm" + std::to_string(i));
            worker.info.address = "127.0.0.1:" + std::to_string(9000 + i);
            worker.info.upstream = UpstreamName("desk");
            worker.info.labels = {"a", "r" + std::to_string(i / 2)};
            worker.info.capacity = cellResources(milliCores, 64000);
            worker.info.incarnation = WorkerIncarnation(1);
            worker.info.sequence = 1;
            workers[worker.info.id] = worker;
        }
    }

    void addRoute(const std::string &name, int priority, std::optional<AdviceSettings> advice = std::nullopt)
    {
        CellRoute route;
        route.name = RouteName(name);
        route.host = "desk.example";
        route.pathPrefix = "/" + name + "/";
        route.upstream = UpstreamName("desk");
        route.priority = priority;
        route.attempts = 2;
        route.stretch = 3;
        route.targetLatency = Duration(1000);
        route.advice = advice;
        config->routes.push_back(route);
    }

    /// Starts a leadership with a new scheduler and loads the stored jobs.
    void startLeadership(std::uint64_t epochValue = 1)
    {
        epoch = Epoch(epochValue);
        config->buildIndexes();
        scheduler = std::make_unique<CellScheduler>(settings, log);
        if (isConfigKnown) {
            scheduler->setConfig(config, configSince == TimePoint() ? now : configSince);
        }
        std::vector<DaemonId> daemons;
        for (int i = 1; i <= daemonCount; ++i) {
            daemons.emplace_back("d" + std::to_string(i));
        }
        scheduler->setAdviceDaemons(daemons);
        scheduler->beginEpoch(epoch, now + leaseExpiry);
        scheduler->addPreviousWorkers(readWorkerRows());
        m_events.clear();
        nextRegistry = now;
        if (loadDuration > Duration(0)) {
            m_events.emplace(now + loadDuration, [this] { loadJobs(); });
        } else {
            loadJobs();
        }
    }

    [[nodiscard]] CellTime time() const
    {
        return CellTime{now, now.time_since_epoch().count()};
    }

    AdmissionVerdict submit(CellJob job)
    {
        job.submittedUnixMs = time().unixMs;
        const CellRoute *route = config->route(job.route);
        if (admitsWithRules && route != nullptr) {
            job.admitted = AdmittedRules{*route, config->workspace(job.workspace)->maximum};
        }
        const AdmissionVerdict verdict = scheduler->submit(job, time()).verdict;
        if (verdict == AdmissionVerdict::Admitted) {
            storedJobs[job.id] = job;
            scheduler->onJobStored(job, time());
        }
        return verdict;
    }

    void cancel(const std::string &id)
    {
        cancelled.insert(JobId(id));
        scheduler->onCancelStored(JobId(id), now);
    }

    [[nodiscard]] CellJobState state(const std::string &id) const
    {
        return scheduler->state(JobId(id));
    }

    void run(Duration span)
    {
        const TimePoint until = now + span;
        while (now < until) {
            advance();
        }
    }

    FakeCellWorker &worker(int index)
    {
        return workers.at(WorkerId("w" + std::to_string(index)));
    }

    /// Whether the policy service allows the worker for the step.
    [[nodiscard]] bool allows(const StepRef &step, const WorkerId &id) const
    {
        return isAllowed ? isAllowed(step, id) : allowedWorkers.empty() || allowedWorkers.count(id) > 0;
    }

    [[nodiscard]] int runningTasks() const
    {
        int sum = 0;
        for (const auto &[id, worker] : workers) {
            sum += static_cast<int>(worker.running.size());
        }
        return sum;
    }

    CellSchedulerSettings settings;
    DecisionLog log; ///< Receives the scheduler's log lines; set before startLeadership().
    std::shared_ptr<CellConfig> config;
    std::unique_ptr<CellScheduler> scheduler;
    std::map<WorkerId, FakeCellWorker> workers;
    /// Returns how long a write of the worker records is under way, if it gets no answer; such a write is performed late if its condition still
    /// holds then. Empty: all writes are answered.
    std::function<std::optional<Duration>()> recordsWriteDelay;
    std::map<JobId, CellJob> storedJobs;
    std::map<JobId, JobProgress> storedProgress;
    std::set<JobId> cancelled;
    std::set<JobId> neverStarted; ///< Jobs that no previous leader can have started: they were stored after its last write of the leader's row.
    bool isConfigKnown = true; ///< A new leader knows the configuration.
    TimePoint configSince; ///< Since when the configuration is known; zero: since the start of the leadership.
    bool renewalsSucceed = true; ///< Renewals of the leader's row succeed.
    std::set<TaskRef> acknowledgedSuccesses;
    std::vector<std::string> violations;
    Epoch epoch;
    TimePoint now{Duration(1000000)};
    Duration leaseExpiry{6500}; ///< Time until all leases of previous leaders have expired.
    TimePoint nextRegistry;
    bool admitsWithRules = true; ///< Jobs are stored with the rules of their route, unlike those of the former version of the daemon.
    bool storeReachable = true; ///< Writes of progress and of the worker list succeed.
    bool progressIsStored = true; ///< Writes of progress succeed while the store is reachable.
    /// Returns the duration of the run started by an order; the step's estimate if not set.
    std::function<Duration(const StartOrder &)> duration;
    /// Called for each hold, which is delivered if the function returns true. May schedule a late delivery with renewLateAt().
    std::function<bool(const HoldOrder &)> onHold = [](const HoldOrder &) { return true; };
    std::function<Duration()> holdDelay; ///< Returns an additional time that a worker takes to answer a hold; none if not set.
    Duration silentHoldTimeout{0}; ///< How long a hold to a worker waits that does not answer.
    /// Called for each start, which is delivered if the function returns true. May schedule a late delivery with deliverStartAt().
    std::function<bool(const StartOrder &)> onStart = [](const StartOrder &) { return true; };
    std::set<WorkerId> allowedWorkers; ///< Workers that the policy service allows; empty: all.
    /// Whether the policy service allows a worker for a step; allowedWorkers decides if not set.
    std::function<bool(const StepRef &, const WorkerId &)> isAllowed;
    int daemonCount = 2; ///< Daemons that call the policy service; set before startLeadership().
    Duration ticketValidity{2500};
    int callDurationPercent = 100; ///< Real duration of calls to the policy service in percent of the configured one.
    int answerCopies = 1; ///< How often the scheduler receives each answer of the policy service.
    std::function<void(const AdviceCall &, AdviceAnswer &)> onAdviceAnswer; ///< May change the answers of the policy service; may be empty.
    std::function<void()> afterStep; ///< Called after each simulated step; may be empty.
    int adviceCalls = 0;
    int workersNamed = 0; ///< Total number of workers named in advice calls.
    int starts = 0;
    std::size_t endsPerReply = maxEndsPerReply; ///< Ends that a worker lists at most in a reply to a hold.
    Duration loadDuration{0}; ///< How long a new leader reads the rows of the jobs. Workers are called meanwhile.
    Duration stopDuration{0}; ///< Time that a stopped run still needs to end. Until then it is listed and uses its demand.
    Duration restoreDuration{100}; ///< Time that a run needs to continue from a checkpoint, if its step saves checkpoints.
    std::function<bool(const StopOrder &)> onStop; ///< Called for each stop, which is delivered if the function returns true; empty: all are.
    Duration capacityGrace{4500}; ///< Time after which starts have to respect a capacity that has shrunk.
    /// Called for each run that was started, before the scheduler receives the answer.
    std::function<void(const FakeCellWorker &, const StartOrder &)> onRunStarted;
    /// Whether a job may fail although none of its tasks has used up its attempts; if not set, no job may.
    std::function<bool(const JobId &)> mayGiveUp;

    /// Calls @p action at @p at, also if the leader has changed by then.
    void callAt(TimePoint at, std::function<void()> action)
    {
        m_workerEvents.emplace(at, std::move(action));
    }

    /// Delivers at @p at a start whose answer the scheduler never receives.
    void deliverStartAt(const StartOrder &order, TimePoint at)
    {
        m_events.emplace(at, [this, order] { (void)apply(order); });
    }

    /// Delivers at @p at a hold whose answer the scheduler never receives.
    void renewLateAt(const HoldOrder &order, TimePoint at)
    {
        callAt(at, [this, order, sender = epoch] {
            FakeCellWorker &worker = workers.at(order.worker);
            if (!worker.crashed && order.deadline > 0 && !(sender < worker.highestFencingToken)) {
                worker.highestFencingToken = sender;
                worker.extendLease(order.deadline, now, settings.workers.leases.maxLease);
            }
        });
    }

    OrderAnswer apply(const StartOrder &order)
    {
        FakeCellWorker &worker = workers.at(order.worker);
        const WorkerClockMs clock = worker.clock(now);
        if (worker.crashed) {
            return {worker.isReplaced ? OrderOutcome::OtherIncarnation : OrderOutcome::NoAnswer, 0};
        }
        // The incarnation is not checked: a restarted worker accepts orders that were sent to its previous incarnation.
        if (epochOf(order) < worker.highestFencingToken) {
            return {OrderOutcome::StaleFencingToken, clock};
        }
        worker.highestFencingToken = epochOf(order);
        if (order.deadline <= clock) {
            return {OrderOutcome::DeadlineExceeded, clock};
        }
        worker.extendLease(order.deadline, now, settings.workers.leases.maxLease);
        const auto present = worker.running.find(order.task);
        if (present != worker.running.end() && present->second.number == order.run) {
            return {OrderOutcome::Done, clock};
        }
        const auto old = worker.highestRun.find(order.task);
        if (old != worker.highestRun.end() && !(old->second < order.run)) {
            return {OrderOutcome::StaleRunNumber, clock};
        }
        recordStart(worker, order);
        return {OrderOutcome::Done, clock};
    }

    std::map<std::pair<TaskRef, RunNumber>, Epoch> orderEpochs;

private:
    /// Reads the rows of the jobs for the present leader.
    void loadJobs()
    {
        for (const auto &[id, job] : storedJobs) {
            const auto progress = storedProgress.find(id);
            if (progress != storedProgress.end() && isFinal(progress->second.finalState)) {
                scheduler->loadFinal(id, progress->second, now);
            } else {
                scheduler->load(
                    job, progress == storedProgress.end() ? nullptr : &progress->second, cancelled.count(id) > 0, neverStarted.count(id) == 0, time());
            }
        }
        scheduler->finishLoading(now);
    }

    [[nodiscard]] Epoch epochOf(const StartOrder &order) const
    {
        const auto found = orderEpochs.find({order.task, order.run});
        return found == orderEpochs.end() ? epoch : found->second;
    }

    void recordStart(FakeCellWorker &worker, const StartOrder &order)
    {
        for (const auto &[id, other] : workers) {
            if (!other.crashed && other.running.count(order.task) > 0) {
                violations.push_back(order.task.text() + " runs twice");
            }
        }
        if (acknowledgedSuccesses.count(order.task) > 0) {
            violations.push_back(order.task.text() + " started after its success was acknowledged");
        }
        const StepSpec &spec = storedJobs.at(order.task.step.job).steps.at(static_cast<std::size_t>(order.task.step.step));
        const Duration nominal = duration ? duration(order) : spec.estimate;
        const Duration workBefore(spec.checkpointing && !spec.gang && !order.checkpoint.empty() ? std::atoi(order.checkpoint.c_str()) : 0);
        const Duration left = workBefore > Duration(0) ? std::max(nominal - workBefore, Duration(0)) + restoreDuration : nominal;
        const Duration span(static_cast<std::int64_t>(static_cast<double>(left.count()) * worker.slowness));
        worker.running[order.task] = FakeCellRun{order.run, now + span, order, spec.gang, now, workBefore, 0, now};
        ++starts;
        Resources used;
        for (const auto &[task, run] : worker.running) {
            used += storedJobs.at(task.step.job).steps.at(static_cast<std::size_t>(task.step.step)).demand;
        }
        if (!used.fitsIn(worker.capacityLimit(now, capacityGrace))) {
            violations.push_back(worker.info.id.value() + " is over its capacity");
        }
        if (onRunStarted) {
            onRunStarted(worker, order);
        }
    }

    /// Records a violation unless a task of the failed job has used up its attempts or the job may be given up.
    void checkFailure(const JobId &id)
    {
        const CellJob &job = storedJobs.at(id);
        const CellRoute *inForce = config->route(job.route);
        const RouteRules *route = inForce == nullptr && job.admitted ? &job.admitted->route : inForce;
        const bool usedUp = std::any_of(m_failedRuns.begin(), m_failedRuns.end(), [&](const auto &failed) {
            return failed.first.step.job == id && route != nullptr && static_cast<int>(failed.second.size()) >= route->attempts;
        });
        if (!usedUp && !(mayGiveUp && mayGiveUp(id))) {
            violations.push_back("job " + id.value() + " failed without cause");
        }
    }

    void advanceWorkers()
    {
        for (auto &[id, worker] : workers) {
            if (worker.crashed) {
                worker.running.clear();
                continue;
            }
            if (worker.leaseEnd < now) {
                while (!worker.running.empty()) {
                    worker.end(worker.running.begin()->first, RunEnd::LeaseExpired);
                }
                worker.lastEndBeforeLapse = worker.lastEnd;
            }
            std::vector<TaskRef> due;
            for (const auto &[task, run] : worker.running) {
                if (run.ends <= now || worker.failsAll) {
                    due.push_back(task);
                }
            }
            for (const TaskRef &task : due) {
                worker.end(task, worker.failsAll ? RunEnd::Failed : RunEnd::Succeeded);
            }
        }
    }

    void deliverHold(const HoldOrder &order, TimePoint sent)
    {
        FakeCellWorker &worker = workers.at(order.worker);
        if (worker.crashed || !worker.reachable || epoch < worker.highestFencingToken) {
            m_events.emplace(now + silentHoldTimeout, [this, order, sent] { scheduler->onHoldAnswer(order, nullptr, sent, time()); });
            return;
        }
        worker.highestFencingToken = epoch;
        if (order.incarnation == worker.info.incarnation) {
            for (const EndedEntry &end : worker.ended) {
                // If the lease expired between the end and its acknowledgement, the leader may have started the task again on that proof.
                const bool hasLapsed = end.number <= worker.lastEndBeforeLapse;
                if (end.number <= order.acknowledged && end.end == RunEnd::Succeeded && !hasLapsed) {
                    acknowledgedSuccesses.insert(end.task);
                }
            }
            if (worker.acknowledged < order.acknowledged) {
                worker.acknowledged = order.acknowledged;
            }
        }
        if (order.deadline > 0) {
            worker.extendLease(order.deadline, now, settings.workers.leases.maxLease);
        }
        HoldReply reply;
        reply.incarnation = worker.info.incarnation;
        reply.clock = worker.clock(now);
        for (const auto &[task, run] : worker.running) {
            reply.running.push_back(RunningEntry{task, run.number, {}, run.percent(now), 0});
        }
        for (const EndedEntry &end : worker.ended) {
            if (worker.acknowledged < end.number && reply.ended.size() < endsPerReply) {
                reply.ended.push_back(end);
            }
            if (end.end == RunEnd::Failed) {
                const bool isGang = storedJobs.at(end.task.step.job).steps.at(static_cast<std::size_t>(end.task.step.step)).gang;
                m_failedRuns[isGang ? TaskRef{end.task.step, 0} : end.task].insert(end.run);
            }
        }
        reply.mayOmitEnds = reply.ended.size() >= endsPerReply;
        scheduler->onHoldAnswer(order, &reply, sent, time());
    }

    void executeOrders(const CellOrders &orders)
    {
        for (const StartOrder &order : orders.starts) {
            orderEpochs[{order.task, order.run}] = epoch;
            const bool isDelivered = workers.at(order.worker).reachable && onStart(order);
            m_events.emplace(now + (isDelivered ? latency : answerTimeout),
                             [this, order, isDelivered] { scheduler->onStartAnswer(order, isDelivered ? apply(order) : OrderAnswer{}, time()); });
        }
        for (const StopOrder &order : orders.stops) {
            m_events.emplace(now + latency, [this, order] { deliverStop(order); });
        }
        // The lists are taken when the reply is due: a long poll ends after at most 20 ms, even if no run has ended.
        for (const HoldOrder &order : orders.holds) {
            if (onHold(order)) {
                const Duration delay = latency + std::min(order.wait, Duration(20)) + (holdDelay ? holdDelay() : Duration(0));
                m_events.emplace(now + delay, [this, order, sent = now] { deliverHold(order, sent); });
            } else {
                m_events.emplace(now + answerTimeout, [this, order, sent = now] { scheduler->onHoldAnswer(order, nullptr, sent, time()); });
            }
        }
        for (const AdviceCall &call : orders.advice) {
            ++adviceCalls;
            workersNamed += static_cast<int>(call.workers.size());
            // A daemon's policy service handles one call at a time.
            TimePoint &busyUntil = m_serviceBusyUntil[call.daemon];
            busyUntil = std::max(busyUntil, now) + call.duration * callDurationPercent / 100;
            m_events.emplace(busyUntil, [this, call, sent = now] {
                AdviceAnswer answer;
                answer.answered = true;
                answer.validity = ticketValidity;
                for (const WorkerId &id : call.workers) {
                    if (allows(call.step, id)) {
                        answer.allowed.emplace_back(id, "ticket");
                    }
                }
                if (onAdviceAnswer) {
                    onAdviceAnswer(call, answer);
                }
                for (int i = 0; i < answerCopies; ++i) {
                    scheduler->onAdvice(call.id, answer, sent, now);
                }
            });
        }
        if (!orders.workersToStore.empty()) {
            writeWorkerRow(orders.workersToStore);
        }
    }

    /// The worker records of one leadership, as in the store.
    struct WorkerRow {
        int version = 0;
        std::vector<WorkerRecord> records;
    };

    /// Reads the rows of all leaderships.
    std::vector<WorkerRecord> readWorkerRows()
    {
        std::map<WorkerId, WorkerRecord> merged;
        m_formerEpochs.clear();
        for (const auto &[writer, row] : m_workerRows) {
            m_formerEpochs.push_back(writer);
            mergeWorkerRecords(row.records, merged);
        }
        m_knownRowVersion = 0;
        std::vector<WorkerRecord> records;
        records.reserve(merged.size());
        for (const auto &[id, record] : merged) {
            records.push_back(record);
        }
        return records;
    }

    void writeWorkerRow(const std::vector<WorkerRecord> &records)
    {
        const auto write = [this, records, writer = epoch, expected = m_knownRowVersion, removed = m_formerEpochs] {
            const auto row = m_workerRows.find(writer);
            if ((row == m_workerRows.end() ? 0 : row->second.version) != expected) {
                return false;
            }
            m_workerRows[writer] = WorkerRow{++m_lastRowVersion, records};
            for (const Epoch former : removed) {
                m_workerRows.erase(former);
            }
            return true;
        };
        const std::optional<Duration> delay = storeReachable && recordsWriteDelay ? recordsWriteDelay() : std::nullopt;
        if (delay) {
            callAt(now + *delay, [write] { (void)write(); });
            m_events.emplace(now + answerTimeout, [this, records] { scheduler->onWorkersStored(records, false); });
            return;
        }
        const bool isStored = storeReachable && write();
        const auto row = m_workerRows.find(epoch);
        m_knownRowVersion = !storeReachable ? m_knownRowVersion : row == m_workerRows.end() ? 0 : row->second.version;
        scheduler->onWorkersStored(records, isStored);
    }

    void stopRun(FakeCellWorker &worker, const StopOrder &order)
    {
        const StepSpec &spec = storedJobs.at(order.task.step.job).steps.at(static_cast<std::size_t>(order.task.step.step));
        const bool savesWork = spec.checkpointing && !spec.gang;
        worker.end(order.task, RunEnd::Stopped, savesWork ? worker.running.at(order.task).checkpointAt(now) : "checkpoint");
    }

    void deliverStop(const StopOrder &order)
    {
        if (onStop && !onStop(order)) {
            scheduler->onStopAnswer(order, OrderAnswer{OrderOutcome::NoAnswer, 0}, time());
            return;
        }
        FakeCellWorker &worker = workers.at(order.worker);
        if (worker.crashed || !worker.reachable) {
            scheduler->onStopAnswer(order, OrderAnswer{worker.isReplaced ? OrderOutcome::OtherIncarnation : OrderOutcome::NoAnswer, 0}, time());
            return;
        }
        const auto run = worker.running.find(order.task);
        if (run != worker.running.end() && run->second.number == order.run && stopDuration == Duration(0)) {
            stopRun(worker, order);
        } else if (run != worker.running.end() && run->second.number == order.run) {
            callAt(now + stopDuration, [this, order] {
                FakeCellWorker &stopped = workers.at(order.worker);
                const auto left = stopped.running.find(order.task);
                if (left != stopped.running.end() && left->second.number == order.run) {
                    stopRun(stopped, order);
                }
            });
        }
        RunNumber &highestRun = worker.highestRun[order.task];
        highestRun = highestRun < order.run ? order.run : highestRun;
        scheduler->onStopAnswer(order, {OrderOutcome::Done, worker.clock(now)}, time());
    }

    void advance()
    {
        now += Duration(5);
        for (auto &[id, worker] : workers) {
            worker.present = now;
        }
        advanceWorkers();
        while (!m_workerEvents.empty() && m_workerEvents.begin()->first <= now) {
            const auto action = m_workerEvents.begin()->second;
            m_workerEvents.erase(m_workerEvents.begin());
            action();
        }
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            event();
        }
        if (nextRegistry <= now) {
            nextRegistry = now + Duration(500);
            std::vector<WorkerInfo> listed;
            for (auto &[id, worker] : workers) {
                const bool isListed = !worker.crashed || now < worker.listedUntil;
                if (isListed && !unregistered.count(id)) {
                    worker.info.sequence += worker.crashed ? 0 : 1;
                    listed.push_back(worker.info);
                }
            }
            scheduler->onRegistry(listed, time());
        }
        if (renewalsSucceed) {
            scheduler->onLeadershipRenewed(now);
        }
        executeOrders(scheduler->tick(time()));
        if (storeReachable && progressIsStored) {
            for (const ProgressWrite &write : scheduler->takeProgress(100)) {
                storedProgress[write.job] = write.progress;
                if (write.progress.finalState == CellJobState::Failed) {
                    checkFailure(write.job);
                }
                scheduler->onProgressStored(write.job, write.revision);
            }
        }
        if (afterStep) {
            afterStep();
        }
    }

    static constexpr Duration latency{2};
    static constexpr Duration answerTimeout{400};
    std::multimap<TimePoint, std::function<void()>> m_events; ///< Answers to the leader; dropped when the leader changes.
    std::multimap<TimePoint, std::function<void()>> m_workerEvents; ///< Happen on the workers, whoever leads.
    std::map<TaskRef, std::set<RunNumber>> m_failedRuns; ///< Failed runs that workers have reported; those of a gang at its first task.
    std::map<DaemonId, TimePoint> m_serviceBusyUntil;
    std::map<Epoch, WorkerRow> m_workerRows;
    std::vector<Epoch> m_formerEpochs; ///< Of the rows that the present leader has read.
    int m_lastRowVersion = 0;
    int m_knownRowVersion = 0; ///< Of the present leader's row, as far as it knows; 0: there is none.

public:
    std::set<WorkerId> unregistered; ///< Workers missing from the registry.
};

} // namespace KingCupLadder
