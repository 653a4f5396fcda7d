#include "fleet.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder::Matrix {

namespace {

constexpr Duration tickInterval{20};
constexpr Duration storeTimeout{1500}; // As in DaemonCoreSettings.
constexpr Duration workerTimeout{1000}; // As in DaemonCoreSettings.

const char *messageName(const PeerMessage &message)
{
    // In the order of the alternatives of PeerMessage.
    constexpr const char *names[] = {"Heartbeat",
                                     "ConfigPush",
                                     "ConfigPull",
                                     "GrantRequest",
                                     "GrantReply",
                                     "GrantRelease",
                                     "JobForward",
                                     "JobForwardReply",
                                     "CancelForward",
                                     "CancelForwardReply",
                                     "HandOver",
                                     "StatusQuery",
                                     "StatusReply"};
    return names[message.index()];
}

} // namespace

MatrixFleet::MatrixFleet(const FleetOptions &options) : m_options(options), m_random(options.seed)
{
    for (std::size_t i = 0; i < options.daemons; ++i) {
        Daemon daemon;
        daemon.info.id = DaemonId("d" + std::to_string(i));
        daemon.info.domain = FailureDomain(std::string(1, static_cast<char>('a' + i % options.domains)));
        daemon.info.peerAddress = "peer" + std::to_string(i);
        m_daemons.push_back(std::move(daemon));
    }
    const Resources capacity{MilliCores(4000), MebiBytes(8192), Accelerators(1), Slots(8)};
    for (std::size_t i = 0; i < options.domains * options.workersPerDomain; ++i) {
        VmInfo vm;
        vm.id = WorkerId("w" + std::to_string(i));
        vm.address = vm.id.value();
        vm.group = "main";
        vm.domain = FailureDomain(std::string(1, static_cast<char>('a' + i % options.domains)));
        m_vmList.push_back(vm);
        workers.push_back(std::make_unique<FakeWorker>(vm, capacity, checker));
        if (options.adjustWorker) {
            options.adjustWorker(*workers.back());
        }
    }
    for (std::size_t i = 0; i < options.daemons; ++i) {
        start(i);
    }
}

void MatrixFleet::schedule(TimePoint when, std::function<void()> action)
{
    m_events.push(Event{std::max(when, m_now), ++m_order, std::move(action)});
}

Duration MatrixFleet::randomDelay(Duration maximum)
{
    std::uniform_int_distribution<std::int64_t> distribution(1, std::max<std::int64_t>(1, maximum.count()));
    return Duration(distribution(m_random));
}

bool MatrixFleet::isCut(const std::string &from, const std::string &to) const
{
    return m_cuts.count({from, to}) > 0;
}

void MatrixFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
    for (const auto &worker : workers) {
        worker->advance(m_now);
    }
}

bool MatrixFleet::runUntil(const std::function<bool()> &condition, Duration span)
{
    const TimePoint end = m_now + span;
    while (!condition()) {
        if (m_now >= end) {
            return false;
        }
        run(Duration(100));
    }
    return true;
}

void MatrixFleet::start(std::size_t daemon)
{
    Daemon &state = m_daemons[daemon];
    ++state.run;
    state.info.incarnation = Incarnation(state.run);
    state.pausedUntil = m_now;
    state.lastTablesVersion = ConfigVersion();
    state.lastKeysVersion = ConfigVersion();
    state.answers.clear();
    DaemonCoreSettings settings;
    settings.self = state.info;
    settings.seed = m_options.seed * 1000 + daemon * 100 + state.run;
    settings.syncInterval = Duration(200);
    for (const Daemon &peer : m_daemons) {
        settings.peerAddresses.push_back(peer.info.peerAddress);
    }
    if (m_options.adjustSettings) {
        m_options.adjustSettings(settings);
    }
    state.core = std::move(DaemonCore::create(settings, m_now)).value();
    tickDaemon(daemon, state.run);
}

void MatrixFleet::kill(std::size_t daemon)
{
    m_daemons[daemon].core.reset();
}

void MatrixFleet::pause(std::size_t daemon, Duration span)
{
    m_daemons[daemon].pausedUntil = m_now + span;
}

void MatrixFleet::runInDaemon(std::size_t daemon, std::uint64_t run, const std::function<void(DaemonCore &)> &action)
{
    Daemon &state = m_daemons[daemon];
    if (state.core == nullptr || state.run != run) {
        return;
    }
    if (m_now < state.pausedUntil) {
        schedule(state.pausedUntil, [this, daemon, run, action] { runInDaemon(daemon, run, action); });
        return;
    }
    action(*state.core);
    execute(daemon);
}

void MatrixFleet::tickDaemon(std::size_t daemon, std::uint64_t run)
{
    if (m_daemons[daemon].run != run || m_daemons[daemon].core == nullptr) {
        return;
    }
    runInDaemon(daemon, run, [this](DaemonCore &core) { core.tick(m_now); });
    checkVersionsMonotonic(daemon);
    schedule(std::max(m_now, m_daemons[daemon].pausedUntil) + tickInterval, [this, daemon, run] { tickDaemon(daemon, run); });
}

void MatrixFleet::checkVersionsMonotonic(std::size_t daemon)
{
    Daemon &state = m_daemons[daemon];
    if (state.core == nullptr) {
        return;
    }
    if (state.core->tablesVersion() < state.lastTablesVersion || state.core->keysVersion() < state.lastKeysVersion) {
        checker.report("the configuration of " + state.info.id.value() + " reverted to an older version");
    }
    state.lastTablesVersion = state.core->tablesVersion();
    state.lastKeysVersion = state.core->keysVersion();
}

void MatrixFleet::reachStep(std::size_t daemon, const std::string &name)
{
    if (onStep) {
        onStep(Step{name, daemon});
    }
}

void MatrixFleet::execute(std::size_t daemon)
{
    const std::uint64_t run = m_daemons[daemon].run;
    for (Command &command : m_daemons[daemon].core->takeCommands()) {
        if (m_daemons[daemon].core == nullptr || m_daemons[daemon].run != run) {
            return; // A fault at a step of an earlier command killed the daemon.
        }
        if (auto *transaction = std::get_if<StoreTransaction>(&command)) {
            // The last row names the step, since the checks of lease rows come first.
            const std::string table = transaction->writes.empty() ? "nothing" : transaction->writes.back().table;
            executeStore(daemon, transaction->op, "write " + table, true, [this, transaction = *transaction] { return store.execute(transaction); });
        } else if (auto *scan = std::get_if<StoreScan>(&command)) {
            executeStore(daemon, scan->op, "scan " + scan->table, false, [this, scan = *scan] { return store.execute(scan); });
        } else if (auto *read = std::get_if<StoreRead>(&command)) {
            executeStore(daemon, read->op, "read " + read->table, false, [this, read = *read] { return store.execute(read); });
        } else if (auto *list = std::get_if<VmListRead>(&command)) {
            executeVmList(daemon, list->op);
        } else if (auto *sync = std::get_if<SyncWorker>(&command)) {
            executeSync(daemon, *sync);
        } else if (auto *send = std::get_if<SendPeerMessage>(&command)) {
            executePeer(daemon, *send);
        } else if (auto *answer = std::get_if<CallerAnswer>(&command)) {
            recordAnswer(daemon, *answer);
        }
    }
}

void MatrixFleet::executeStore(std::size_t daemon, OpId op, const std::string &name, bool isWrite, const std::function<StoreReply()> &effect)
{
    const std::uint64_t run = m_daemons[daemon].run;
    const std::string domain = m_daemons[daemon].info.domain.value();
    reachStep(daemon, name + " before");
    const TimePoint deadline = m_now + storeTimeout;
    const auto loseReply = [this, daemon, run, op, deadline] {
        schedule(deadline, [this, daemon, run, op] {
            runInDaemon(daemon, run, [this, op](DaemonCore &core) { core.onStoreReply(StoreReply{op, StoreStatus::Unknown, {}}, m_now); });
        });
    };
    if (isCut(domain, "store")) {
        loseReply();
        return;
    }
    schedule(m_now + randomDelay(storeDelay), [=] {
        if (storeDown) {
            loseReply();
            return;
        }
        const StoreReply reply = effect();
        reachStep(daemon, name + " after");
        const TimePoint arrival = m_now + randomDelay(storeDelay);
        if ((isWrite && storeLosesReplies) || isCut("store", domain) || arrival > deadline) {
            loseReply();
            return;
        }
        schedule(arrival, [=] { runInDaemon(daemon, run, [=](DaemonCore &core) { core.onStoreReply(reply, m_now); }); });
    });
}

void MatrixFleet::executeVmList(std::size_t daemon, OpId op)
{
    const std::uint64_t run = m_daemons[daemon].run;
    const std::string domain = m_daemons[daemon].info.domain.value();
    const bool reachable = !storeDown && !isCut(domain, "store") && !isCut("store", domain);
    VmListReply reply{op, std::nullopt};
    if (reachable) {
        reply.vms = m_vmList;
    }
    const Duration delay = reachable ? randomDelay(storeDelay) : storeTimeout;
    schedule(m_now + delay, [=] { runInDaemon(daemon, run, [=](DaemonCore &core) { core.onVmList(reply, m_now); }); });
}

void MatrixFleet::executeSync(std::size_t daemon, const SyncWorker &sync)
{
    const std::uint64_t run = m_daemons[daemon].run;
    const std::string domain = m_daemons[daemon].info.domain.value();
    const auto target = std::find_if(workers.begin(), workers.end(), [&sync](const auto &worker) { return worker->vm().id == sync.worker; });
    FakeWorker *worker = target == workers.end() ? nullptr : target->get();
    const bool hasStarts = !sync.request.starts.empty();
    // The step is named after what the request does: it starts tasks, else reads the inventory, else only renews leases.
    const std::string name = sync.request.inventory && !hasStarts ? "sync inventory" : hasStarts ? "sync start" : "sync renew";
    reachStep(daemon, name + " before");
    const TimePoint deadline = m_now + workerTimeout;
    const auto scheduleReply = [=](const std::optional<SyncReply> &reply, TimePoint when) {
        schedule(when, [=] { runInDaemon(daemon, run, [=](DaemonCore &core) { core.onWorkerReply(WorkerReply{sync.op, sync.worker, reply}, m_now); }); });
    };
    if (worker == nullptr || isCut(domain, worker->vm().domain.value())) {
        scheduleReply(std::nullopt, deadline);
        return;
    }
    const bool late = syncDelayChance > 0.0 && std::bernoulli_distribution(syncDelayChance)(m_random);
    if (late) {
        scheduleReply(std::nullopt, deadline);
        schedule(deadline + randomDelay(syncDelay), [=] {
            if (worker->responds) {
                static_cast<void>(worker->sync(sync.request, m_now));
            }
        });
        return;
    }
    schedule(m_now + randomDelay(Duration(2)), [=] {
        if (!worker->responds) {
            scheduleReply(std::nullopt, deadline);
            return;
        }
        const SyncReply reply = worker->sync(sync.request, m_now);
        reachStep(daemon, name + " after");
        if (isCut(worker->vm().domain.value(), domain)) {
            scheduleReply(std::nullopt, deadline);
            return;
        }
        scheduleReply(reply, m_now + randomDelay(Duration(2)));
    });
}

void MatrixFleet::executePeer(std::size_t daemon, const SendPeerMessage &send)
{
    reachStep(daemon, std::string("peer ") + messageName(send.message) + " before");
    for (std::size_t to = 0; to < m_daemons.size(); ++to) {
        if (to == daemon || m_daemons[to].info.peerAddress != send.address) {
            continue;
        }
        std::bernoulli_distribution duplicated(duplicateChance);
        const int copies = duplicated(m_random) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            schedule(m_now + randomDelay(peerJitter), [=, message = send.message] { deliverPeer(daemon, to, message); });
        }
    }
}

void MatrixFleet::deliverPeer(std::size_t from, std::size_t to, const PeerMessage &message)
{
    if (isCut(m_daemons[from].info.domain.value(), m_daemons[to].info.domain.value())) {
        return;
    }
    const DaemonId sender = m_daemons[from].info.id;
    runInDaemon(to, m_daemons[to].run, [=](DaemonCore &core) { core.onPeerMessage(sender, message, m_now); });
    reachStep(from, std::string("peer ") + messageName(message) + " after");
}

void MatrixFleet::recordAnswer(std::size_t daemon, const CallerAnswer &answer)
{
    m_daemons[daemon].answers[answer.op] = answer;
    const auto submitted = m_submitted.find({daemon, answer.op});
    if (submitted == m_submitted.end()) {
        return;
    }
    const JobSpec spec = submitted->second;
    m_submitted.erase(submitted);
    const bool stored = store.row("jobs", spec.id.value()).version.value() > 0;
    if (std::holds_alternative<JobAccepted>(answer.body)) {
        m_acknowledged[spec.id] = spec;
        if (!stored) {
            checker.report("job " + spec.id.value() + " was acknowledged but is not stored");
        }
    } else if (answer.ran == ExecutionStatus::NotRun && stored) {
        checker.report("job " + spec.id.value() + " was refused as not run but is stored");
    }
}

std::optional<CallerAnswer> MatrixFleet::answerOf(std::size_t daemon, OpId op) const
{
    const auto found = m_daemons[daemon].answers.find(op);
    return found == m_daemons[daemon].answers.end() ? std::nullopt : std::make_optional(found->second);
}

std::optional<CallerAnswer> MatrixFleet::await(std::size_t daemon, OpId op, Duration span)
{
    execute(daemon);
    runUntil([&] { return answerOf(daemon, op).has_value(); }, span);
    return answerOf(daemon, op);
}

void MatrixFleet::cut(const std::string &from, const std::string &to)
{
    m_cuts.insert({from, to});
}

void MatrixFleet::cutBothWays(const std::string &a, const std::string &b)
{
    cut(a, b);
    cut(b, a);
}

void MatrixFleet::healNetwork()
{
    m_cuts.clear();
}

void MatrixFleet::killWorker(std::size_t worker, Duration listedFor)
{
    workers[worker]->die();
    const WorkerId id = workers[worker]->vm().id;
    schedule(m_now + listedFor,
             [this, id] { m_vmList.erase(std::remove_if(m_vmList.begin(), m_vmList.end(), [&id](const VmInfo &vm) { return vm.id == id; }), m_vmList.end()); });
}

void MatrixFleet::markLeaving(std::size_t worker)
{
    const WorkerId id = workers[worker]->vm().id;
    for (VmInfo &vm : m_vmList) {
        vm.leaving = vm.leaving || vm.id == id;
    }
    workers[worker]->leavingSince = m_now;
}

void MatrixFleet::applyTables(const std::string &routes, const std::string &pools)
{
    const TablesParseResult result = Tables::parse(routes, pools);
    for (const TableProblem &problem : result.problems) {
        checker.report("tables: " + problem.text());
    }
    if (const auto tables = result.tables()) {
        for (const Team &team : tables->teams()) {
            checker.limits[team.id] = team.limit;
        }
    }
    const OpId op = core(0).applyTables(core(0).tablesVersion(), routes, pools, m_now);
    const auto answer = await(0, op, Duration(10000));
    if (!answer || answer->error.kind != ErrorKind::None) {
        checker.report("the tables were not applied" + (answer ? ": " + answer->error.text() : std::string()));
    }
}

OpId MatrixFleet::submit(std::size_t daemon, const JobSpec &job)
{
    const OpId op = core(daemon).submitJob(job, m_now);
    m_submitted[{daemon, op}] = job;
    execute(daemon);
    return op;
}

bool MatrixFleet::allFinished() const
{
    return unfinishedJobs().empty();
}

std::string MatrixFleet::unfinishedJobs() const
{
    std::string text;
    for (const auto &[id, spec] : m_acknowledged) {
        const auto record = JobRecord::fromJson(store.row("jobs", id.value()).value);
        const bool cancelled = record && record->state == JobState::Cancelled;
        const bool recorded = record && record->state == JobState::Succeeded;
        if (!cancelled && !(recorded && checker.hasSucceeded(id, spec.taskCount))) {
            text += (text.empty() ? "" : ", ") + id.value() + " is " + (record ? toString(record->state) : "missing");
        }
    }
    return text;
}

} // namespace KingCupLadder::Matrix
