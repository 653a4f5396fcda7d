// Field-by-field conversions.
#include "rowcodec.h"

namespace KingCupLadder {

namespace {

constexpr std::size_t bitsPerByte = 8;

std::string packBits(const std::vector<bool> &bits)
{
    std::string bytes((bits.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < bits.size(); ++i) {
        if (bits[i]) {
            bytes[i / bitsPerByte] = static_cast<char>(static_cast<unsigned char>(bytes[i / bitsPerByte]) | (1U << (i % bitsPerByte)));
        }
    }
    return bytes;
}

/// Returns a multiple of eight bits, so up to seven more than were packed.
std::vector<bool> unpackBits(const std::string &bytes)
{
    std::vector<bool> bits;
    for (const char byte : bytes) {
        for (std::size_t i = 0; i < bitsPerByte; ++i) {
            bits.push_back((static_cast<unsigned char>(byte) >> i & 1U) != 0);
        }
    }
    return bits;
}

CellWire::Resources toWire(const Resources &resources)
{
    CellWire::Resources wire;
    wire.set_milli_cores(resources.cpu.value());
    wire.set_memory_mib(resources.memory.value());
    wire.set_accelerators(resources.accelerators.value());
    return wire;
}

Resources fromWire(const CellWire::Resources &wire)
{
    Resources resources;
    resources.cpu = MilliCores(wire.milli_cores());
    resources.memory = MebiBytes(wire.memory_mib());
    resources.accelerators = Accelerators(wire.accelerators());
    return resources;
}

CellWire::RouteRules toWire(const RouteRules &rules)
{
    CellWire::RouteRules wire;
    wire.set_upstream(rules.upstream.value());
    wire.set_priority(rules.priority);
    wire.set_attempts(static_cast<std::uint32_t>(rules.attempts));
    wire.set_stretch(rules.stretch);
    wire.set_target_latency_ms(rules.targetLatency.count());
    wire.set_needs_advice(rules.advice.has_value());
    if (rules.advice) {
        wire.set_decision_ms(rules.advice->decisionMs);
        wire.set_per_worker_ms(rules.advice->perWorkerMs);
        wire.set_ticket_validity_ms(rules.advice->validity.count());
    }
    return wire;
}

RouteRules fromWire(const CellWire::RouteRules &wire)
{
    RouteRules rules;
    rules.upstream = UpstreamName(wire.upstream());
    rules.priority = wire.priority();
    rules.attempts = static_cast<int>(wire.attempts());
    rules.stretch = wire.stretch();
    rules.targetLatency = Duration(wire.target_latency_ms());
    if (wire.needs_advice()) {
        rules.advice = AdviceSettings{wire.decision_ms(), wire.per_worker_ms(), Duration(wire.ticket_validity_ms())};
    }
    return rules;
}

CellWire::Step toWire(const StepSpec &spec)
{
    CellWire::Step step;
    step.set_count(static_cast<std::uint32_t>(spec.count));
    *step.mutable_demand() = toWire(spec.demand);
    step.set_estimate_ms(spec.estimate.count());
    for (const int dependency : spec.after) {
        step.add_after(static_cast<std::uint32_t>(dependency));
    }
    step.set_gang(spec.gang);
    step.set_same_rack(spec.sameRack);
    step.set_speculative(spec.speculative);
    step.set_checkpointing(spec.checkpointing);
    step.set_long_running(spec.longRunning);
    step.set_fills_idle_capacity(spec.fillsIdleCapacity);
    step.set_required_label(spec.requiredLabel);
    step.set_preferred_rack(spec.preferredRack);
    step.set_max_per_worker(static_cast<std::uint32_t>(spec.maxPerWorker));
    step.set_image(spec.image);
    step.set_service_target_ms(spec.serviceTarget.count());
    step.set_max_unavailable(static_cast<std::uint32_t>(spec.maxUnavailable));
    return step;
}

StepSpec fromWire(const CellWire::Step &step)
{
    StepSpec spec;
    spec.count = static_cast<int>(step.count());
    spec.demand = fromWire(step.demand());
    spec.estimate = Duration(step.estimate_ms());
    for (const std::uint32_t dependency : step.after()) {
        spec.after.push_back(static_cast<int>(dependency));
    }
    spec.gang = step.gang();
    spec.sameRack = step.same_rack();
    spec.speculative = step.speculative();
    spec.checkpointing = step.checkpointing();
    spec.longRunning = step.long_running();
    spec.fillsIdleCapacity = step.fills_idle_capacity();
    spec.requiredLabel = step.required_label();
    spec.preferredRack = step.preferred_rack();
    spec.maxPerWorker = static_cast<int>(step.max_per_worker());
    spec.image = step.image();
    spec.serviceTarget = Duration(step.service_target_ms());
    spec.maxUnavailable = static_cast<int>(step.max_unavailable());
    return spec;
}

} // namespace

CellWire::JobRow toWire(const CellJob &job)
{
    CellWire::JobRow row;
    row.set_id(job.id.value());
    row.set_route(job.route.value());
    row.set_workspace(job.workspace.value());
    row.set_payload(job.payload);
    for (const StepSpec &step : job.steps) {
        *row.add_steps() = toWire(step);
    }
    row.set_occurrences(static_cast<std::uint32_t>(job.occurrences));
    row.set_interval_ms(job.interval.count());
    row.set_first_run_unix_ms(job.firstRunUnixMs);
    row.set_submitted_unix_ms(job.submittedUnixMs);
    if (job.admitted) {
        *row.mutable_rules() = toWire(job.admitted->route);
        *row.mutable_workspace_maximum() = toWire(job.admitted->workspaceMaximum);
    }
    return row;
}

std::optional<CellJob> fromWire(const CellWire::JobRow &row)
{
    CellJob job;
    job.id = JobId(row.id());
    job.route = RouteName(row.route());
    job.workspace = WorkspaceId(row.workspace());
    job.payload = row.payload();
    for (const CellWire::Step &step : row.steps()) {
        job.steps.push_back(fromWire(step));
    }
    job.occurrences = static_cast<int>(row.occurrences());
    job.interval = Duration(row.interval_ms());
    job.firstRunUnixMs = row.first_run_unix_ms();
    job.submittedUnixMs = row.submitted_unix_ms();
    if (row.has_rules()) {
        job.admitted = AdmittedRules{fromWire(row.rules()), fromWire(row.workspace_maximum())};
    }
    limitTimes(job);
    return checkJob(job) ? std::optional<CellJob>(std::move(job)) : std::nullopt;
}

CellWire::ProgressRow toWire(const JobProgress &progress, std::int64_t currentUnixTimeMs)
{
    CellWire::ProgressRow row;
    row.set_route(progress.route.value());
    row.set_workspace(progress.workspace.value());
    switch (progress.finalState) {
    case CellJobState::Succeeded:
        row.set_final_state(CellWire::SUCCEEDED);
        break;
    case CellJobState::Failed:
        row.set_final_state(CellWire::FAILED);
        break;
    case CellJobState::Cancelled:
        row.set_final_state(CellWire::CANCELLED);
        break;
    default:
        break;
    }
    if (isFinal(progress.finalState)) {
        row.set_ended_unix_ms(currentUnixTimeMs); // Approximates the time of the end by the time of this write.
    }
    for (const auto &[first, last] : progress.doneOccurrences) {
        CellWire::OccurrenceRange *range = row.add_done();
        range->set_first(static_cast<std::uint32_t>(first));
        range->set_last(static_cast<std::uint32_t>(last));
    }
    for (const auto &[key, step] : progress.steps) {
        CellWire::StepProgress *stored = row.add_steps();
        stored->set_occurrence(static_cast<std::uint32_t>(key.first));
        stored->set_step(static_cast<std::uint32_t>(key.second));
        stored->set_succeeded(packBits(step.succeeded));
        stored->set_gang_checkpoint(step.gangCheckpoint);
        for (const auto &[task, crashes] : step.crashes) {
            CellWire::TaskCrashes *taskCrashes = stored->add_crashes();
            taskCrashes->set_task(static_cast<std::uint32_t>(task));
            for (const auto &[run, crash] : crashes) {
                taskCrashes->add_runs(run.value());
                taskCrashes->add_timings(static_cast<std::uint32_t>(crash.timing));
                taskCrashes->add_alone(crash.wasAlone);
                taskCrashes->add_proven(crash.isProven);
                taskCrashes->add_unix_ms(crash.unixMs);
            }
        }
        for (const auto &[task, runs] : step.failedRuns) {
            CellWire::TaskFailures *failures = stored->add_failures();
            failures->set_task(static_cast<std::uint32_t>(task));
            for (const RunNumber run : runs) {
                failures->add_runs(run.value());
            }
        }
    }
    return row;
}

JobProgress fromWire(const CellWire::ProgressRow &row)
{
    JobProgress progress;
    progress.route = RouteName(row.route());
    progress.workspace = WorkspaceId(row.workspace());
    switch (row.final_state()) {
    case CellWire::SUCCEEDED:
        progress.finalState = CellJobState::Succeeded;
        break;
    case CellWire::FAILED:
        progress.finalState = CellJobState::Failed;
        break;
    case CellWire::CANCELLED:
        progress.finalState = CellJobState::Cancelled;
        break;
    default:
        break;
    }
    for (const CellWire::OccurrenceRange &range : row.done()) {
        progress.doneOccurrences.emplace_back(static_cast<int>(range.first()), static_cast<int>(range.last()));
    }
    for (const CellWire::StepProgress &stored : row.steps()) {
        StepProgress step;
        step.succeeded = unpackBits(stored.succeeded());
        step.gangCheckpoint = stored.gang_checkpoint();
        for (const CellWire::TaskFailures &failures : stored.failures()) {
            for (const std::uint64_t run : failures.runs()) {
                step.failedRuns[static_cast<int>(failures.task())].insert(RunNumber(run));
            }
        }
        for (const CellWire::TaskCrashes &taskCrashes : stored.crashes()) {
            for (int i = 0; i < std::min({taskCrashes.runs_size(), taskCrashes.timings_size(), taskCrashes.alone_size(), taskCrashes.proven_size()}); ++i) {
                const auto timing = static_cast<CrashTiming>(std::min(taskCrashes.timings(i), static_cast<std::uint32_t>(CrashTiming::AtStart)));
                step.crashes[static_cast<int>(taskCrashes.task())][RunNumber(taskCrashes.runs(i))] =
                    WorkerCrash{timing, taskCrashes.alone(i), taskCrashes.proven(i), i < taskCrashes.unix_ms_size() ? taskCrashes.unix_ms(i) : 0};
            }
        }
        progress.steps[{static_cast<int>(stored.occurrence()), static_cast<int>(stored.step())}] = std::move(step);
    }
    return progress;
}

CellWire::WorkersRow toWire(const std::vector<WorkerRecord> &records)
{
    CellWire::WorkersRow row;
    for (const WorkerRecord &record : records) {
        row.add_ids(record.id.value());
        if (record.isClosed) {
            CellWire::ClosedWorker *closed = row.add_closed();
            closed->set_id(record.id.value());
            for (const JobId &job : record.jobs) {
                closed->add_jobs(job.value());
            }
        }
    }
    return row;
}

std::vector<WorkerRecord> fromWire(const CellWire::WorkersRow &row)
{
    std::vector<WorkerRecord> records;
    std::map<WorkerId, std::size_t> indexes;
    for (const std::string &id : row.ids()) {
        indexes.emplace(WorkerId(id), records.size());
        records.push_back(WorkerRecord{WorkerId(id), false, {}});
    }
    for (const CellWire::ClosedWorker &closed : row.closed()) {
        const auto index = indexes.find(WorkerId(closed.id()));
        if (index == indexes.end()) {
            continue;
        }
        WorkerRecord &record = records[index->second];
        record.isClosed = true;
        for (const std::string &job : closed.jobs()) {
            record.jobs.emplace_back(job);
        }
    }
    return records;
}

CellWire::Member toWire(const CellMember &member)
{
    CellWire::Member wire;
    wire.set_id(member.id.value());
    wire.set_incarnation(member.incarnation.value());
    wire.set_peer_address(member.peerAddress);
    wire.set_domain(member.domain.value());
    wire.set_power(static_cast<std::uint32_t>(member.cpu.value()));
    return wire;
}

CellMember fromWire(const CellWire::Member &wire)
{
    return CellMember{DaemonId(wire.id()), Incarnation(wire.incarnation()), wire.peer_address(), FailureDomain(wire.domain()), MilliCores(wire.power())};
}

CellWire::LeaderRow toWire(const LeaderRecord &record)
{
    CellWire::LeaderRow row;
    row.set_holder(record.holder.value());
    row.set_incarnation(record.incarnation.value());
    row.set_peer_address(record.peerAddress);
    row.set_epoch(record.epoch.value());
    row.set_successor(record.successor.value());
    for (const CellMember &member : record.members) {
        *row.add_members() = toWire(member);
    }
    return row;
}

LeaderRecord fromWire(const CellWire::LeaderRow &row)
{
    LeaderRecord record;
    record.holder = DaemonId(row.holder());
    record.incarnation = Incarnation(row.incarnation());
    record.peerAddress = row.peer_address();
    record.epoch = Epoch(row.epoch());
    record.successor = DaemonId(row.successor());
    for (const CellWire::Member &member : row.members()) {
        record.members.push_back(fromWire(member));
    }
    return record;
}

CellWire::KnownState toWire(CellJobState state)
{
    switch (state) {
    case CellJobState::Pending:
        return CellWire::PENDING;
    case CellJobState::Active:
        return CellWire::ACTIVE;
    case CellJobState::Succeeded:
        return CellWire::STATE_SUCCEEDED;
    case CellJobState::Failed:
        return CellWire::STATE_FAILED;
    case CellJobState::Cancelled:
        return CellWire::STATE_CANCELLED;
    case CellJobState::Unknown:
        break;
    }
    return CellWire::UNKNOWN_STATE;
}

CellJobState fromWire(CellWire::KnownState state)
{
    switch (state) {
    case CellWire::PENDING:
        return CellJobState::Pending;
    case CellWire::ACTIVE:
        return CellJobState::Active;
    case CellWire::STATE_SUCCEEDED:
        return CellJobState::Succeeded;
    case CellWire::STATE_FAILED:
        return CellJobState::Failed;
    case CellWire::STATE_CANCELLED:
        return CellJobState::Cancelled;
    default:
        return CellJobState::Unknown;
    }
}

CellWire::RowKey toWire(const RowKey &key)
{
    CellWire::RowKey wire;
    wire.set_table(key.table);
    wire.set_part(key.partition);
    wire.set_key(key.key);
    return wire;
}

RowKey fromWire(const CellWire::RowKey &wire)
{
    return RowKey{wire.table(), wire.part(), wire.key()};
}

CellWire::Row toWire(const TableRow &row)
{
    CellWire::Row wire;
    *wire.mutable_key() = toWire(row.key);
    wire.set_value(row.value);
    wire.set_version(row.version.value());
    wire.set_removed(row.removed);
    return wire;
}

TableRow fromWire(const CellWire::Row &wire)
{
    return TableRow{fromWire(wire.key()), wire.value(), RowVersion(wire.version()), wire.removed()};
}

} // namespace KingCupLadder
