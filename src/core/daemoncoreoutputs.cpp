// Dispatches the outputs of each component: commands to the host, events to other components.
#include "daemoncore_p.h"
#include "overloaded.h"

#include <utility>

namespace KingCupLadder {

void DaemonCore::Private::dispatchOutputs(TimePoint now)
{
    bool more = true;
    while (more) {
        more = dispatchConfigOutputs(now);
        more = dispatchOwnershipOutputs(now) || more;
        more = dispatchAllotmentOutputs(now) || more;
        more = dispatchShardOutputs(now) || more;
        more = dispatchJobOutputs(now) || more;
        more = dispatchGrantOutputs(now) || more;
    }
    // Records when each store operation was sent, for storeAge(). emplace() keeps the time of commands that an earlier call has recorded.
    for (const Command &command : commands) {
        std::visit(Overloaded{[&](const StoreTransaction &store) { storeOpsSentAt.emplace(store.op, now); },
                              [&](const StoreScan &store) { storeOpsSentAt.emplace(store.op, now); },
                              [&](const StoreRead &store) { storeOpsSentAt.emplace(store.op, now); },
                              [](const auto &) {}},
                   command);
    }
}

bool DaemonCore::Private::dispatchConfigOutputs(TimePoint now)
{
    std::vector<ConfigOutput> outputs = config.takeOutputs();
    for (ConfigOutput &output : outputs) {
        std::visit(Overloaded{[&](ConfigActivated &activated) {
                                  if (activated.kind == ConfigKind::Tables) {
                                      onTablesChanged(now);
                                  }
                                  if (activated.writtenLocally) {
                                      pushConfig(activated.kind, now);
                                  }
                              },
                              [&](auto &command) { emit(std::move(command)); }},
                   output);
    }
    return !outputs.empty();
}

bool DaemonCore::Private::dispatchOwnershipOutputs(TimePoint now)
{
    std::vector<OwnershipOutput> outputs = ownership->takeOutputs();
    for (OwnershipOutput &output : outputs) {
        std::visit(Overloaded{[&](ShardGained &gained) { gainShard(gained, now); },
                              [&](ShardLost &lost) {
                                  loseShard(lost.shard);
                                  updateDesiredShards(now);
                              },
                              [&](HandOverProposed &proposal) { startHandOver(proposal, now); },
                              [&](HandOverDone &done) {
                                  sendPeer(done.to, HandOver{done.shard, done.epoch});
                              },
                              [&](auto &command) { emit(std::move(command)); }},
                   output);
    }
    return !outputs.empty();
}

bool DaemonCore::Private::dispatchAllotmentOutputs(TimePoint now)
{
    std::vector<AllotmentOutput> outputs = allotments.takeOutputs();
    for (AllotmentOutput &output : outputs) {
        std::visit(Overloaded{[&](AllotmentChanged &changed) {
                                  Shard *owned = shard(changed.shard);
                                  if (owned != nullptr) {
                                      owned->controller->setAllotment(changed.team, changed.allotment, now);
                                  }
                              },
                              [&](auto &command) { emit(std::move(command)); }},
                   output);
    }
    return !outputs.empty();
}

bool DaemonCore::Private::dispatchShardOutputs(TimePoint now)
{
    bool any = false;
    for (auto &[id, owned] : shards) {
        std::vector<ShardOutput> outputs = owned.controller->takeOutputs();
        any = any || !outputs.empty();
        for (ShardOutput &output : outputs) {
            std::visit(Overloaded{[&, &shardId = id, epoch = owned.epoch](SyncWorker &sync) {
                                      const OpId op = newOp();
                                      workerOps.emplace(op, PendingWorkerOp{shardId, epoch, sync.op, now});
                                      sync.op = op;
                                      emit(std::move(sync));
                                  },
                                  [&, &shardId = id](PersistJobState &record) { persistJobState(shardId, record, now); },
                                  [&, &state = owned](ScanQueue &) { state.nextScan = now; }},
                       output);
        }
    }
    return any;
}

bool DaemonCore::Private::dispatchJobOutputs(TimePoint now)
{
    std::vector<AdmissionOutput> admissionOutputs = admission->takeOutputs();
    for (AdmissionOutput &output : admissionOutputs) {
        std::visit(Overloaded{[&](JobStored &stored) { jobForwarder.onJobStored(stored.record, now); },
                              [&](JobStateStored &recorded) { onJobStateStored(recorded, now); },
                              [&](JobStateRefused &refused) { onJobStateRefused(refused, now); },
                              [&](auto &command) { emit(std::move(command)); }},
                   output);
    }
    jobForwarder.tick(now);
    std::vector<JobForwarderOutput> forwarderOutputs = jobForwarder.takeOutputs();
    for (JobForwarderOutput &output : forwarderOutputs) {
        std::visit(Overloaded{[&](DeliverLocally &delivery) {
                                  Shard *owned = shard(delivery.shard);
                                  std::vector<JobRecord> records;
                                  for (JobSpec &spec : delivery.jobs) {
                                      records.push_back(JobRecord{std::move(spec), delivery.shard, JobState::Queued, "", delivery.epoch});
                                  }
                                  if (owned != nullptr) {
                                      acceptJobs(*owned, delivery.epoch, records, now);
                                  }
                              },
                              [&](CancelLocally &cancellation) { cancelLocally(cancellation.shard, cancellation.jobs, now); },
                              [&](SendToOwner &message) { sendPeer(message.owner, std::move(message.message)); }},
                   output);
    }
    std::vector<ClaimsOutput> claimOutputs = claims.takeOutputs();
    for (ClaimsOutput &output : claimOutputs) {
        std::visit([&](auto &command) { emit(std::move(command)); }, output);
    }
    return !admissionOutputs.empty() || !forwarderOutputs.empty() || !claimOutputs.empty();
}

bool DaemonCore::Private::dispatchGrantOutputs(TimePoint)
{
    std::vector<GrantOutput> outputs = grantClient.takeOutputs();
    for (GrantOutput &output : outputs) {
        std::visit(Overloaded{[&](SendGrantRequest &toSend) { sendPeer(toSend.owner, std::move(toSend.request)); },
                              [&](SendGrantRelease &returned) { sendPeer(returned.owner, returned.release); },
                              [&](CallerAnswer &reply) { emit(std::move(reply)); }},
                   output);
    }
    return !outputs.empty();
}

} // namespace KingCupLadder
