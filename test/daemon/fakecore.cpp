#include "fakecore.h"

#include "core/quantity.h"

#include <map>

namespace KingCupLadder {

namespace {

// Created before the first test: CppUTest would report a static table that is created during a test as a leak.
[[maybe_unused]] const QuantityFormat &durations = durationFormat();

} // namespace

FakeCore &fakeCore()
{
    static FakeCore instance;
    return instance;
}

class DaemonCore::Private
{
public:
    std::uint64_t lastOp = 0;
    std::map<OpId, JobId> pendingJobs;

    OpId queueAnswer(CallerBody body)
    {
        const OpId op(++lastOp);
        CallerAnswer answer;
        answer.op = op;
        answer.error = std::exchange(fakeCore().nextError, Error());
        answer.body = std::move(body);
        fakeCore().commands.emplace_back(answer);
        return op;
    }
};

DaemonCore::DaemonCore() : d(std::make_unique<Private>()) { }
DaemonCore::~DaemonCore() = default;

Result<std::unique_ptr<DaemonCore>> DaemonCore::create(const DaemonCoreSettings & /*settings*/, TimePoint /*now*/)
{
    return std::unique_ptr<DaemonCore>(new DaemonCore);
}

void DaemonCore::onStoreReply(const StoreReply &reply, TimePoint /*now*/)
{
    const auto job = d->pendingJobs.find(reply.op);
    if (job == d->pendingJobs.end()) {
        return;
    }
    CallerAnswer answer;
    answer.op = reply.op;
    answer.body = JobAccepted{job->second, false};
    if (reply.status != StoreStatus::Ok) {
        answer.error = {ErrorKind::OutcomeUnknown, "the store did not answer", "ask for the job later"};
        answer.ran = ExecutionStatus::Unknown;
    }
    fakeCore().commands.emplace_back(answer);
}

OpId DaemonCore::submitJob(const JobSpec &job, TimePoint /*now*/)
{
    fakeCore().submittedJobs.push_back(job);
    if (!fakeCore().storeJobs) {
        return d->queueAnswer(JobAccepted{job.id, false});
    }
    const OpId op(++d->lastOp);
    d->pendingJobs[op] = job.id;
    fakeCore().commands.emplace_back(StoreTransaction{op, {{RowWrite::Kind::Insert, "jobs", job.id.value(), {}, JobRecord{job, {}, {}, {}}.toJson()}}});
    return op;
}

Result<Identity> DaemonCore::identify(const std::string &secret, TimePoint /*now*/) const
{
    if (secret != fakeCore().secret) {
        return Error{ErrorKind::Unauthorized, "unknown key", "use a key that is in force"};
    }
    return Identity{KeyId("k"), TeamId("a"), WorkspaceId("w")};
}

OpId DaemonCore::acquireGrant(const GrantSpec & /*spec*/, TimePoint /*now*/)
{
    if (fakeCore().workerAddress.empty()) {
        fakeCore().nextError = {ErrorKind::NoRoom, "no slot is free", "try again"};
    }
    return d->queueAnswer(Grant{GrantId("g"), ShardId("p/d/0"), Epoch(7), WorkerId("w1"), fakeCore().workerAddress, fakeCore().grantTerm});
}

void DaemonCore::releaseGrant(const Grant & /*grant*/, GrantOutcome grantOutcome, TimePoint /*now*/)
{
    fakeCore().releases.push_back(grantOutcome);
}

OpId DaemonCore::finishClaim(const TeamId & /*team*/, const std::string & /*key*/, const std::string &outcome, TimePoint /*now*/)
{
    fakeCore().finishedOutcomes.push_back(outcome);
    return d->queueAnswer({});
}

OpId DaemonCore::issueKey(const TeamKey &key, TimePoint /*now*/)
{
    fakeCore().issuedKeys.push_back(key);
    return d->queueAnswer(ConfigAccepted{ConfigVersion(3)});
}

OpId DaemonCore::readJob(const JobId &job, TimePoint /*now*/)
{
    JobRecord record;
    record.spec.id = job;
    record.spec.team = TeamId("b");
    return d->queueAnswer(record);
}

std::vector<Command> DaemonCore::takeCommands()
{
    return std::exchange(fakeCore().commands, {});
}

std::shared_ptr<const Tables> DaemonCore::tables() const
{
    const auto check = Tables::parse(fakeCore().routes, fakeCore().pools);
    return check.problems.empty() ? std::make_shared<const Tables>(*check.tables()) : nullptr;
}

// clang-format off
void DaemonCore::onVmList(const VmListReply &, TimePoint) { }
void DaemonCore::onWorkerReply(const WorkerReply &, TimePoint) { }
void DaemonCore::onPeerMessage(const DaemonId &, const PeerMessage &, TimePoint) { }
void DaemonCore::tick(TimePoint) { }
OpId DaemonCore::listJobs(const TeamId &, TimePoint) { return d->queueAnswer(std::vector<JobRecord>()); }
OpId DaemonCore::cancelJob(const JobId &job, const TeamId &, TimePoint) { return d->queueAnswer(JobCancelled{job}); }
void DaemonCore::cancelGrantRequest(OpId, TimePoint) { }
OpId DaemonCore::claim(const TeamId &, const std::string &, const std::string &, TimePoint) { return d->queueAnswer(ClaimState{true, {}}); }
OpId DaemonCore::applyTables(ConfigVersion expected, const std::string &, const std::string &, TimePoint) { return d->queueAnswer(ConfigAccepted{expected.next()}); }
OpId DaemonCore::withdrawKey(const KeyId &, TimePoint) { return d->queueAnswer(ConfigAccepted{ConfigVersion(4)}); }
OpId DaemonCore::fleetStatus(const std::string &, TimePoint) { return d->queueAnswer(FleetStatus()); }
ConfigVersion DaemonCore::tablesVersion() const { return ConfigVersion(1); }
ConfigVersion DaemonCore::keysVersion() const { return ConfigVersion(2); }
std::string DaemonCore::routesYaml() const { return fakeCore().routes; }
std::string DaemonCore::poolsYaml() const { return fakeCore().pools; }
std::vector<TeamKey> DaemonCore::keys() const { return fakeCore().issuedKeys; }
std::string DaemonCore::status(const std::string &, TimePoint) const { return "{}"; }
std::vector<Metric> DaemonCore::metrics(TimePoint) const { return {{"task_starts_total", "pool=\"p\"", 2}}; }
bool DaemonCore::ready(TimePoint) const { return !fakeCore().stopping; }
void DaemonCore::beginStop(TimePoint) { fakeCore().stopping = true; }
bool DaemonCore::stopped() const { return fakeCore().stopping; }
// clang-format on

} // namespace KingCupLadder
