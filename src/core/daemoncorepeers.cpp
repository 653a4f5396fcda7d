// Messages to and from other daemons.
#include "daemoncore_p.h"
#include "overloaded.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr Duration refusedDemandRetention{2000}; // Longer than the interval at which a waiting request is repeated.

} // namespace

void DaemonCore::onPeerMessage(const DaemonId &from, const PeerMessage &message, TimePoint now)
{
    std::visit(Overloaded{[&](const Heartbeat &heartbeat) { d->onHeartbeat(heartbeat, now); },
                          [&](const ConfigPush &push) { d->config.onPush(push); },
                          [&](const ConfigPull &pull) {
                              const ConfigPush document = d->config.document(pull.kind);
                              if (document.version > pull.have) {
                                  d->sendPeer(from, document);
                              }
                          },
                          [&](const GrantRequest &request) { d->onGrantRequest(from, request, now); },
                          [&](const GrantReply &reply) { d->grantClient.onReply(from, reply, now); },
                          [&](const GrantRelease &release) {
                              Private::Shard *owned = d->shard(release.shard);
                              if (owned != nullptr) {
                                  owned->controller->release(release.grant, release.end, now);
                              }
                          },
                          [&](const JobForward &forward) { d->onJobForward(from, forward); },
                          [&](const JobForwardReply &reply) { d->jobForwarder.onForwardReply(reply, now); },
                          [&](const CancelForward &forward) { d->onCancelForward(from, forward, now); },
                          [&](const CancelForwardReply &reply) { d->jobForwarder.onCancelReply(reply); },
                          [&](const HandOver &handOver) { d->ownership->onHandOver(handOver, now); },
                          [&](const StatusQuery &query) {
                              d->sendPeer(from, StatusReply{query.op, d->status(query.topic, now)});
                          },
                          [&](const StatusReply &reply) { d->onStatusReply(from, reply); }},
               message);
    d->dispatchOutputs(now);
}

Heartbeat DaemonCore::Private::buildHeartbeat(TimePoint now) const
{
    Heartbeat heartbeat;
    heartbeat.self = settings.self;
    heartbeat.self.incarnation = ownership->incarnation();
    heartbeat.stamp = now - startedAt + Duration(1); // 0 would mean "none".
    for (const auto &[id, echo] : echoes) {
        heartbeat.echoes.push_back(echo);
    }
    heartbeat.stopping = stopping;
    heartbeat.storeAge = storeAge(now);
    heartbeat.tables = config.version(ConfigKind::Tables);
    heartbeat.keys = config.version(ConfigKind::Keys);
    heartbeat.keysAge = config.keysAge(now);
    heartbeat.domains = membership.domainViews(storeAge(now), now);
    heartbeat.known = membership.knownPeers();
    for (const auto &[id, owned] : shards) {
        if (!owned.suspended) {
            heartbeat.owned.push_back(OwnedShard{id, owned.epoch, owned.controller->freeResources(), owned.controller->queuedTasks()});
        }
    }
    heartbeat.leaving = membership.leavingVms();
    heartbeat.withdrawn = config.keys().withdrawn();
    return heartbeat;
}

void DaemonCore::Private::sendHeartbeats(TimePoint now)
{
    const Heartbeat heartbeat = buildHeartbeat(now);
    for (const PeerInfo &target : membership.heartbeatTargets()) {
        if (target.id != settings.self.id && target.peerAddress != settings.self.peerAddress) {
            emit(SendPeerMessage{target.id, target.peerAddress, heartbeat});
        }
    }
}

void DaemonCore::Private::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    const DaemonId &from = heartbeat.self.id;
    if (from == settings.self.id) {
        return;
    }
    HeartbeatEcho &newestEcho = echoes[from];
    const bool stale =
        heartbeat.self.incarnation < newestEcho.incarnation || (heartbeat.self.incarnation == newestEcho.incarnation && heartbeat.stamp <= newestEcho.stamp);
    if (stale) {
        return;
    }
    newestEcho = HeartbeatEcho{from, heartbeat.self.incarnation, heartbeat.stamp};
    const auto ownEcho = std::find_if(heartbeat.echoes.begin(), heartbeat.echoes.end(), [this](const HeartbeatEcho &echo) {
        return echo.daemon == settings.self.id && echo.incarnation == ownership->incarnation();
    });
    if (ownEcho == heartbeat.echoes.end()) {
        // The age of this message is unknown until the peer echoes a stamp of this daemon. Until then the peer is only added to the known
        // peers, and the state that it reports is not used.
        membership.onRegistered({heartbeat.self}, now);
        return;
    }
    // The peer wrote the heartbeat after receiving the echoed stamp, so the content of the heartbeat was true at the time of the stamp or
    // later.
    const TimePoint heardAt = std::min(now, startedAt + ownEcho->stamp - Duration(1));
    membership.onHeartbeat(heartbeat, heardAt);
    config.mergeWithdrawn(heartbeat.withdrawn);
    exchangeConfig(heartbeat, heardAt);
    for (auto it = remoteShards.begin(); it != remoteShards.end();) {
        it = it->second.owner == from ? remoteShards.erase(it) : std::next(it);
    }
    for (const OwnedShard &owned : heartbeat.owned) {
        const auto known = remoteShards.find(owned.id);
        if (known == remoteShards.end() || known->second.state.epoch <= owned.epoch) {
            remoteShards[owned.id] = RemoteShard{from, owned};
        }
    }
}

void DaemonCore::Private::exchangeConfig(const Heartbeat &heartbeat, TimePoint heardAt)
{
    const DaemonId &from = heartbeat.self.id;
    for (const ConfigKind kind : {ConfigKind::Tables, ConfigKind::Keys}) {
        const ConfigVersion theirs = kind == ConfigKind::Tables ? heartbeat.tables : heartbeat.keys;
        const ConfigVersion ours = config.version(kind);
        if (theirs > ours) {
            sendPeer(from, ConfigPull{kind, ours});
        } else if (theirs < ours) {
            sendPeer(from, config.document(kind));
        }
    }
    config.onPeerConfirmation(heartbeat.keys, heardAt - heartbeat.keysAge);
}

void DaemonCore::Private::pushConfig(ConfigKind kind, TimePoint now)
{
    const ConfigPush document = config.document(kind);
    for (const PeerInfo &peer : membership.livePeers(now)) {
        if (peer.id != settings.self.id) {
            sendPeer(peer.id, document);
        }
    }
}

void DaemonCore::Private::rescanAfterPeerLoss(TimePoint now)
{
    std::set<DaemonId> live;
    for (const PeerInfo &peer : membership.livePeers(now)) {
        live.insert(peer.id);
    }
    const bool lost = std::any_of(previouslyLivePeers.begin(), previouslyLivePeers.end(), [&live](const DaemonId &id) { return live.count(id) == 0; });
    previouslyLivePeers = std::move(live);
    if (!lost) {
        return;
    }
    // The lost peer may have admitted jobs that it had not forwarded.
    for (auto &[id, owned] : shards) {
        owned.nextScan = std::min(owned.nextScan, now);
    }
}

void DaemonCore::Private::onGrantRequest(const DaemonId &from, const GrantRequest &request, TimePoint now)
{
    GrantReply reply;
    reply.op = request.op;
    Shard *owned = shard(request.shard);
    if (owned == nullptr || owned->suspended) {
        reply.error = Error{ErrorKind::Unavailable, "shard " + request.shard.value() + " is not owned by this daemon", "ask its owner"};
    } else {
        Result<Grant> grant = owned->controller->grant(request.spec, from, now);
        if (grant) {
            reply.grant = std::move(grant).value();
        } else {
            reply.error = grant.reason();
            if (reply.error.kind == ErrorKind::LimitReached) {
                refusedDemands[{request.shard, request.spec.team}] = RefusedDemand{request.spec.demand, now + refusedDemandRetention};
            }
        }
    }
    sendPeer(from, std::move(reply));
}

void DaemonCore::Private::onJobForward(const DaemonId &from, const JobForward &forward)
{
    Shard *owned = shard(forward.shard);
    JobForwardReply reply{forward.op, forward.shard, false};
    // A later epoch means that the shard has a newer owner.
    if (owned != nullptr && forward.epoch <= owned->epoch) {
        std::vector<std::string> unknownJobs;
        for (const JobSpec &spec : forward.jobs) {
            if (!owned->controller->hasJob(spec.id) && recentlyEndedJobs.count(spec.id) == 0) {
                unknownJobs.push_back(spec.id.value());
            }
        }
        // The message may be delayed, so the rows are read to decide whether the jobs are still queued.
        readJobRows(forward.shard, owned->epoch, unknownJobs);
        reply.owned = true;
    }
    sendPeer(from, reply);
}

void DaemonCore::Private::onCancelForward(const DaemonId &from, const CancelForward &forward, TimePoint now)
{
    if (shard(forward.shard) == nullptr) {
        // Without a reply, the sender looks up the owner again and repeats the message.
        return;
    }
    cancelLocally(forward.shard, forward.jobs, now);
    sendPeer(from, CancelForwardReply{forward.op, forward.shard});
}

void DaemonCore::Private::cancelLocally(const ShardId &id, const std::vector<JobId> &jobsToCancel, TimePoint now)
{
    Shard *owned = shard(id);
    for (const JobId &job : jobsToCancel) {
        rememberEndedJob(job, now);
        if (owned != nullptr) {
            owned->controller->cancel(job, now);
        }
    }
}

void DaemonCore::Private::expireCancellationsAndEndedJobs(TimePoint now)
{
    for (auto it = recentlyEndedJobs.begin(); it != recentlyEndedJobs.end();) {
        it = now >= it->second ? recentlyEndedJobs.erase(it) : std::next(it);
    }
    for (auto &[job, pending] : cancellations) {
        if (now < pending.deadline) {
            continue;
        }
        // Admission keeps retrying the write until it is durable; only the callers stop waiting.
        for (const OpId &caller : std::exchange(pending.callers, {})) {
            fail(caller,
                 Error{
                     ErrorKind::OutcomeUnknown, "the store did not confirm the cancellation of job " + job.value(), "query the job before cancelling it again"},
                 ExecutionStatus::Unknown,
                 Duration(2000));
        }
    }
}

void DaemonCore::Private::onStatusReply(const DaemonId &from, const StatusReply &reply)
{
    const auto found = fleetStatusQueries.find(reply.op);
    if (found != fleetStatusQueries.end() && found->second.awaitedDaemons.erase(from) > 0) {
        found->second.status.parts.push_back(FleetStatus::Part{from, reply.json});
    }
}

void DaemonCore::Private::finishFleetStatusQueries(TimePoint now)
{
    for (auto it = fleetStatusQueries.begin(); it != fleetStatusQueries.end();) {
        FleetStatusQuery &pendingQuery = it->second;
        if (!pendingQuery.awaitedDaemons.empty() && now < pendingQuery.deadline) {
            ++it;
            continue;
        }
        pendingQuery.status.silent.assign(pendingQuery.awaitedDaemons.begin(), pendingQuery.awaitedDaemons.end());
        answer(pendingQuery.caller, std::move(pendingQuery.status));
        it = fleetStatusQueries.erase(it);
    }
}

} // namespace KingCupLadder
