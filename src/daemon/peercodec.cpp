// Converts peer messages of the core to and from protobuf, field by field.
#include "peercodec.h"

#include <google/protobuf/stubs/logging.h>
#include <peer.pb.h>

namespace KingCupLadder {

namespace {

// ---------------------------------------------------------------- encoding

void encode(Wire::Resources *out, const Resources &in)
{
    out->set_milli_cores(in.cpu.value());
    out->set_memory_mib(in.memory.value());
    out->set_accelerators(in.accelerators.value());
    out->set_slots(in.slots.value());
}

void encode(Wire::PeerInfo *out, const PeerInfo &in)
{
    out->set_id(in.id.value());
    out->set_incarnation(in.incarnation.value());
    out->set_domain(in.domain.value());
    out->set_peer_address(in.peerAddress);
    out->set_http_address(in.httpAddress);
}

void encode(Wire::OwnedShard *out, const OwnedShard &in)
{
    out->set_id(in.id.value());
    out->set_epoch(in.epoch.value());
    encode(out->mutable_free(), in.free);
    out->set_queued_tasks(in.queuedTasks);
}

void encode(Wire::DomainView *out, const DomainView &in)
{
    out->set_domain(in.domain.value());
    out->set_heard_age_ms(in.heardAge.count());
    out->set_store_age_ms(in.storeAge.count());
}

void encode(Wire::GrantWish *out, const GrantSpec &in)
{
    out->set_route(in.route.value());
    out->set_pool(in.pool.value());
    out->set_team(in.team.value());
    out->set_priority(static_cast<std::uint32_t>(in.priority));
    encode(out->mutable_demand(), in.demand);
    out->set_term_ms(in.term.count());
    for (const WorkerId &worker : in.avoid) {
        out->add_avoid(worker.value());
    }
}

void encode(Wire::Grant *out, const Grant &in)
{
    out->set_id(in.id.value());
    out->set_shard(in.shard.value());
    out->set_epoch(in.epoch.value());
    out->set_worker(in.worker.value());
    out->set_address(in.address);
    out->set_term_ms(in.term.count());
}

void encode(Wire::Error *out, const Error &in)
{
    out->set_kind(static_cast<std::uint32_t>(in.kind));
    out->set_message(in.message);
    out->set_remedy(in.remedy);
}

void encode(Wire::Job *out, const JobSpec &in)
{
    out->set_id(in.id.value());
    out->set_team(in.team.value());
    out->set_workspace(in.workspace.value());
    out->set_route(in.route.value());
    out->set_pool(in.pool.value());
    out->set_work_class(static_cast<std::uint32_t>(in.workClass));
    out->set_priority(static_cast<std::uint32_t>(in.priority));
    out->set_partition(static_cast<std::uint32_t>(in.partition));
    out->set_all_at_once(in.allAtOnce);
    out->set_start_once(in.startOnce);
    out->set_task_count(in.taskCount);
    encode(out->mutable_demand(), in.demand);
    out->set_declared_run_ms(in.declaredRunTime.count());
    out->set_payload(in.payload);
}

/// Writes a message into the body of an envelope.
struct Encoder {
    Wire::Envelope &envelope;

    void operator()(const Heartbeat &in) const
    {
        Wire::Heartbeat *out = envelope.mutable_heartbeat();
        encode(out->mutable_self(), in.self);
        out->set_stopping(in.stopping);
        out->set_store_age_ms(in.storeAge.count());
        out->set_tables(in.tables.value());
        out->set_keys(in.keys.value());
        out->set_keys_age_ms(in.keysAge.count());
        for (const DomainView &view : in.domains) {
            encode(out->add_domains(), view);
        }
        for (const PeerInfo &peer : in.known) {
            encode(out->add_known(), peer);
        }
        for (const OwnedShard &shard : in.owned) {
            encode(out->add_owned(), shard);
        }
        for (const WorkerId &worker : in.leaving) {
            out->add_leaving(worker.value());
        }
        for (const KeyId &key : in.withdrawn) {
            out->add_withdrawn(key.value());
        }
        out->set_stamp_ms(in.stamp.count());
        for (const HeartbeatEcho &echo : in.echoes) {
            Wire::HeartbeatEcho *entry = out->add_echoes();
            entry->set_daemon(echo.daemon.value());
            entry->set_incarnation(echo.incarnation.value());
            entry->set_stamp_ms(echo.stamp.count());
        }
    }
    void operator()(const ConfigPush &in) const
    {
        Wire::ConfigPush *out = envelope.mutable_config_push();
        out->set_kind(in.kind == ConfigKind::Keys ? Wire::KEYS : Wire::TABLES);
        out->set_version(in.version.value());
        out->set_text(in.text);
    }
    void operator()(const ConfigPull &in) const
    {
        Wire::ConfigPull *out = envelope.mutable_config_pull();
        out->set_kind(in.kind == ConfigKind::Keys ? Wire::KEYS : Wire::TABLES);
        out->set_have(in.have.value());
    }
    void operator()(const GrantRequest &in) const
    {
        Wire::GrantRequest *out = envelope.mutable_grant_request();
        out->set_op(in.op.value());
        out->set_shard(in.shard.value());
        encode(out->mutable_wish(), in.spec);
    }
    void operator()(const GrantReply &in) const
    {
        Wire::GrantReply *out = envelope.mutable_grant_reply();
        out->set_op(in.op.value());
        if (in.grant) {
            encode(out->mutable_grant(), *in.grant);
        }
        encode(out->mutable_error(), in.error);
    }
    void operator()(const GrantRelease &in) const
    {
        Wire::GrantRelease *out = envelope.mutable_grant_release();
        out->set_shard(in.shard.value());
        out->set_grant(in.grant.value());
        out->set_end(static_cast<std::uint32_t>(in.end));
    }
    void operator()(const JobForward &in) const
    {
        Wire::JobForward *out = envelope.mutable_job_forward();
        out->set_op(in.op.value());
        out->set_shard(in.shard.value());
        for (const JobSpec &job : in.jobs) {
            encode(out->add_jobs(), job);
        }
        out->set_epoch(in.epoch.value());
    }
    void operator()(const JobForwardReply &in) const
    {
        Wire::JobForwardReply *out = envelope.mutable_job_forward_reply();
        out->set_op(in.op.value());
        out->set_shard(in.shard.value());
        out->set_owned(in.owned);
    }
    void operator()(const CancelForward &in) const
    {
        Wire::CancelForward *out = envelope.mutable_cancel_forward();
        out->set_op(in.op.value());
        out->set_shard(in.shard.value());
        for (const JobId &job : in.jobs) {
            out->add_jobs(job.value());
        }
    }
    void operator()(const CancelForwardReply &in) const
    {
        Wire::CancelForwardReply *out = envelope.mutable_cancel_forward_reply();
        out->set_op(in.op.value());
        out->set_shard(in.shard.value());
    }
    void operator()(const HandOver &in) const
    {
        Wire::HandOver *out = envelope.mutable_hand_over();
        out->set_shard(in.shard.value());
        out->set_epoch(in.epoch.value());
    }
    void operator()(const StatusQuery &in) const
    {
        Wire::StatusQuery *out = envelope.mutable_status_query();
        out->set_op(in.op.value());
        out->set_topic(in.topic);
    }
    void operator()(const StatusReply &in) const
    {
        Wire::StatusReply *out = envelope.mutable_status_reply();
        out->set_op(in.op.value());
        out->set_json(in.json);
    }
};

// ---------------------------------------------------------------- decoding

/// Reads values and records the first field that is out of range.
class Decoder
{
public:
    [[nodiscard]] const std::string &invalidField() const
    {
        return m_invalidField;
    }

    std::int64_t nonNegative(std::int64_t value, const char *field)
    {
        if (value < 0) {
            fail(field);
            return 0;
        }
        return value;
    }

    Duration duration(std::int64_t value, const char *field)
    {
        return Duration(nonNegative(value, field));
    }

    template<typename Enum>
    Enum enumeration(std::uint32_t value, Enum last, const char *field)
    {
        if (value > static_cast<std::uint32_t>(last)) {
            fail(field);
            return last; // Never used: decodePeerMessage() returns an error after fail().
        }
        return static_cast<Enum>(value);
    }

    template<typename IdType>
    IdType id(const std::string &value, const char *field)
    {
        if (value.empty()) {
            fail(field);
        }
        return IdType(value);
    }

    Resources resources(const Wire::Resources &in)
    {
        return Resources{MilliCores(nonNegative(in.milli_cores(), "milli_cores")),
                         MebiBytes(nonNegative(in.memory_mib(), "memory_mib")),
                         Accelerators(nonNegative(in.accelerators(), "accelerators")),
                         Slots(nonNegative(in.slots(), "slots"))};
    }

    ConfigKind configKind(int kind)
    {
        if (kind != Wire::TABLES && kind != Wire::KEYS) {
            fail("kind");
        }
        return kind == Wire::KEYS ? ConfigKind::Keys : ConfigKind::Tables;
    }

    PeerInfo peerInfo(const Wire::PeerInfo &in)
    {
        return PeerInfo{id<DaemonId>(in.id(), "peer id"), Incarnation(in.incarnation()), FailureDomain(in.domain()), in.peer_address(), in.http_address()};
    }

    OwnedShard ownedShard(const Wire::OwnedShard &in)
    {
        return OwnedShard{id<ShardId>(in.id(), "shard id"), Epoch(in.epoch()), resources(in.free()), in.queued_tasks()};
    }

    DomainView domainView(const Wire::DomainView &in)
    {
        return DomainView{FailureDomain(in.domain()), duration(in.heard_age_ms(), "heard_age_ms"), duration(in.store_age_ms(), "store_age_ms")};
    }

    GrantSpec grantSpec(const Wire::GrantWish &in)
    {
        GrantSpec out;
        out.route = RouteName(in.route());
        out.pool = PoolName(in.pool());
        out.team = TeamId(in.team());
        out.priority = enumeration(in.priority(), Priority::Urgent, "priority");
        out.demand = resources(in.demand());
        out.term = duration(in.term_ms(), "term_ms");
        for (const std::string &worker : in.avoid()) {
            out.avoid.emplace_back(worker);
        }
        return out;
    }

    Grant grant(const Wire::Grant &in)
    {
        Grant out;
        out.id = id<GrantId>(in.id(), "grant id");
        out.shard = id<ShardId>(in.shard(), "shard id");
        out.epoch = Epoch(in.epoch());
        out.worker = id<WorkerId>(in.worker(), "worker id");
        out.address = in.address();
        out.term = duration(in.term_ms(), "term_ms");
        return out;
    }

    Error error(const Wire::Error &in)
    {
        return Error{enumeration(in.kind(), ErrorKind::Stopping, "error kind"), in.message(), in.remedy()};
    }

    JobSpec job(const Wire::Job &in)
    {
        JobSpec out;
        out.id = id<JobId>(in.id(), "job id");
        out.team = TeamId(in.team());
        out.workspace = WorkspaceId(in.workspace());
        out.route = RouteName(in.route());
        out.pool = PoolName(in.pool());
        out.workClass = enumeration(in.work_class(), WorkClass::Service, "work_class");
        out.priority = enumeration(in.priority(), Priority::Urgent, "priority");
        out.partition = enumeration(in.partition(), PartitionPolicy::Move, "partition");
        out.allAtOnce = in.all_at_once();
        out.startOnce = in.start_once();
        out.taskCount = in.task_count();
        out.demand = resources(in.demand());
        out.declaredRunTime = duration(in.declared_run_ms(), "declared_run_ms");
        out.payload = in.payload();
        return out;
    }

    PeerMessage message(const Wire::Envelope &envelope);

private:
    void fail(const char *field)
    {
        if (m_invalidField.empty()) {
            m_invalidField = field;
        }
    }

    Heartbeat heartbeat(const Wire::Heartbeat &in);
    GrantReply grantReply(const Wire::GrantReply &in);
    JobForward jobForward(const Wire::JobForward &in);
    CancelForward cancelForward(const Wire::CancelForward &in);

    std::string m_invalidField; ///< Name of the first field out of range; empty if there is none.
};

Heartbeat Decoder::heartbeat(const Wire::Heartbeat &in)
{
    Heartbeat out;
    out.self = peerInfo(in.self());
    out.stopping = in.stopping();
    out.storeAge = duration(in.store_age_ms(), "store_age_ms");
    out.tables = ConfigVersion(in.tables());
    out.keys = ConfigVersion(in.keys());
    out.keysAge = duration(in.keys_age_ms(), "keys_age_ms");
    for (const Wire::DomainView &view : in.domains()) {
        out.domains.push_back(domainView(view));
    }
    for (const Wire::PeerInfo &peer : in.known()) {
        out.known.push_back(peerInfo(peer));
    }
    for (const Wire::OwnedShard &shard : in.owned()) {
        out.owned.push_back(ownedShard(shard));
    }
    for (const std::string &worker : in.leaving()) {
        out.leaving.emplace_back(worker);
    }
    for (const std::string &key : in.withdrawn()) {
        out.withdrawn.emplace_back(key);
    }
    out.stamp = duration(in.stamp_ms(), "stamp_ms");
    for (const Wire::HeartbeatEcho &echo : in.echoes()) {
        out.echoes.push_back(HeartbeatEcho{id<DaemonId>(echo.daemon(), "daemon"), Incarnation(echo.incarnation()), duration(echo.stamp_ms(), "stamp_ms")});
    }
    return out;
}

GrantReply Decoder::grantReply(const Wire::GrantReply &in)
{
    GrantReply out;
    out.op = OpId(in.op());
    if (in.has_grant()) {
        out.grant = grant(in.grant());
    }
    out.error = error(in.error());
    return out;
}

JobForward Decoder::jobForward(const Wire::JobForward &in)
{
    JobForward out{OpId(in.op()), id<ShardId>(in.shard(), "shard"), {}, Epoch(in.epoch())};
    for (const Wire::Job &spec : in.jobs()) {
        out.jobs.push_back(job(spec));
    }
    return out;
}

CancelForward Decoder::cancelForward(const Wire::CancelForward &in)
{
    CancelForward out{OpId(in.op()), id<ShardId>(in.shard(), "shard"), {}};
    for (const std::string &cancelled : in.jobs()) {
        out.jobs.emplace_back(cancelled);
    }
    return out;
}

PeerMessage Decoder::message(const Wire::Envelope &envelope)
{
    switch (envelope.body_case()) {
    case Wire::Envelope::kHeartbeat:
        return heartbeat(envelope.heartbeat());
    case Wire::Envelope::kConfigPush: {
        const Wire::ConfigPush &in = envelope.config_push();
        return ConfigPush{configKind(in.kind()), ConfigVersion(in.version()), in.text()};
    }
    case Wire::Envelope::kConfigPull:
        return ConfigPull{configKind(envelope.config_pull().kind()), ConfigVersion(envelope.config_pull().have())};
    case Wire::Envelope::kGrantRequest: {
        const Wire::GrantRequest &in = envelope.grant_request();
        return GrantRequest{OpId(in.op()), id<ShardId>(in.shard(), "shard"), grantSpec(in.wish())};
    }
    case Wire::Envelope::kGrantReply:
        return grantReply(envelope.grant_reply());
    case Wire::Envelope::kGrantRelease: {
        const Wire::GrantRelease &in = envelope.grant_release();
        return GrantRelease{id<ShardId>(in.shard(), "shard"), id<GrantId>(in.grant(), "grant"), enumeration(in.end(), GrantOutcome::TimedOut, "end")};
    }
    case Wire::Envelope::kJobForward:
        return jobForward(envelope.job_forward());
    case Wire::Envelope::kJobForwardReply: {
        const Wire::JobForwardReply &in = envelope.job_forward_reply();
        return JobForwardReply{OpId(in.op()), id<ShardId>(in.shard(), "shard"), in.owned()};
    }
    case Wire::Envelope::kCancelForward:
        return cancelForward(envelope.cancel_forward());
    case Wire::Envelope::kCancelForwardReply: {
        const Wire::CancelForwardReply &in = envelope.cancel_forward_reply();
        return CancelForwardReply{OpId(in.op()), id<ShardId>(in.shard(), "shard")};
    }
    case Wire::Envelope::kHandOver:
        return HandOver{id<ShardId>(envelope.hand_over().shard(), "shard"), Epoch(envelope.hand_over().epoch())};
    case Wire::Envelope::kStatusQuery:
        return StatusQuery{OpId(envelope.status_query().op()), envelope.status_query().topic()};
    case Wire::Envelope::kStatusReply:
        return StatusReply{OpId(envelope.status_reply().op()), envelope.status_reply().json()};
    case Wire::Envelope::BODY_NOT_SET:
        break;
    }
    fail("body");
    return StatusReply{}; // Never used: decodePeerMessage() returns an error after fail().
}

Error malformedError(const std::string &what)
{
    return Error{ErrorKind::InvalidInput, "malformed peer message: " + what, "check that all daemons run compatible versions"};
}

} // namespace

std::string encodePeerMessage(const DaemonId &from, const PeerMessage &message)
{
    Wire::Envelope envelope;
    envelope.set_from(from.value());
    std::visit(Encoder{envelope}, message);
    return envelope.SerializeAsString();
}

Result<PeerEnvelope> decodePeerMessage(const std::string &bytes)
{
    if (bytes.size() > maxPeerMessageBytes) {
        return malformedError("larger than the maximum");
    }
    // Without the silencer, protobuf writes a line to stderr for every malformed message, without a rate limit.
    const google::protobuf::LogSilencer silencer;
    Wire::Envelope envelope;
    if (!envelope.ParseFromString(bytes)) {
        return malformedError("not an envelope");
    }
    if (envelope.from().empty()) {
        return malformedError("no sender");
    }
    Decoder decoder;
    PeerEnvelope result{DaemonId(envelope.from()), decoder.message(envelope)};
    if (!decoder.invalidField().empty()) {
        return malformedError("value of '" + decoder.invalidField() + "' is missing or out of range");
    }
    return result;
}

} // namespace KingCupLadder
