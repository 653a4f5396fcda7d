// Resends jobs and cancellations until they are acknowledged.
#include "jobforwarder.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace KingCupLadder {

namespace {

/// Estimates the load of the shard: the queued tasks, including those of the job, divided by the number of tasks of the job's demand that
/// fit into the free resources. Lower is better.
double relativeLoad(const JobSpec &job, const ShardCandidate &candidate)
{
    // The lower bound of the share avoids a division by zero for a demand of zero.
    const double fittingTasks = candidate.free.isZero() ? 0.0 : 1.0 / std::max(job.demand.dominantShareOf(candidate.free), 1e-6);
    // Adding 1 avoids a division by zero if no task fits.
    return (static_cast<double>(candidate.queuedTasks) + job.taskCount) / (fittingTasks + 1.0);
}

} // namespace

std::optional<ShardCandidate> chooseShard(const JobSpec &job, const std::vector<ShardCandidate> &candidates)
{
    const ShardCandidate *best = nullptr;
    double bestLoad = 0.0;
    for (const ShardCandidate &candidate : candidates) {
        const double load = relativeLoad(job, candidate);
        const bool better = best == nullptr || (candidate.ownerLive && !best->ownerLive) || (candidate.ownerLive == best->ownerLive && load < bestLoad);
        if (better) {
            best = &candidate;
            bestLoad = load;
        }
    }
    return best == nullptr ? std::nullopt : std::make_optional(*best);
}

class JobForwarder::Private
{
public:
    struct PendingJob {
        JobRecord record;
        TimePoint due{};
        OpId op; ///< Of the last message that contained the job.
    };
    struct PendingCancel {
        JobId job;
        ShardId shard;
        TimePoint due{};
        TimePoint expiresAt{}; ///< The cancellation is no longer resent after this time.
        OpId op; ///< Of the last message that contained the cancellation.
    };

    JobForwarderSettings settings;
    NextOp nextOp;
    FindOwner findOwner;
    std::vector<JobForwarderOutput> outputs;
    std::unordered_map<JobId, PendingJob> jobs;
    std::vector<PendingCancel> cancels;
    std::unordered_map<OpId, std::vector<JobId>> inFlight; ///< The jobs in each unanswered message.
    TimePoint nextDue = TimePoint::max(); ///< tick() does nothing before this time.

    void deliverDueJobs(TimePoint now);
    void deliverBatch(const ShardId &shard, Epoch epoch, const std::vector<JobId> &ids, TimePoint now);
    void deliverDueCancels(TimePoint now);
};

void JobForwarder::Private::deliverBatch(const ShardId &shard, Epoch epoch, const std::vector<JobId> &ids, TimePoint now)
{
    const auto owner = findOwner(shard, now);
    for (const JobId &id : ids) {
        jobs.at(id).due = now + settings.resendInterval;
    }
    if (!owner || owner->owner.isEmpty()) {
        return;
    }
    std::vector<JobSpec> specs;
    specs.reserve(ids.size());
    for (const JobId &id : ids) {
        specs.push_back(jobs.at(id).record.spec);
    }
    if (owner->ownedLocally) {
        outputs.emplace_back(DeliverLocally{shard, epoch, std::move(specs)});
        for (const JobId &id : ids) {
            jobs.erase(id);
        }
        return;
    }
    const OpId op = nextOp();
    for (const JobId &id : ids) {
        inFlight.erase(jobs.at(id).op);
        jobs.at(id).op = op;
    }
    inFlight[op] = ids;
    JobForward forward;
    forward.op = op;
    forward.shard = shard;
    forward.jobs = std::move(specs);
    forward.epoch = epoch;
    outputs.emplace_back(SendToOwner{owner->owner, std::move(forward)});
}

void JobForwarder::Private::deliverDueJobs(TimePoint now)
{
    std::map<std::pair<ShardId, Epoch>, std::vector<JobId>> due;
    for (const auto &[id, pending] : jobs) {
        if (now >= pending.due) {
            due[{pending.record.shard, pending.record.epoch}].push_back(id);
        }
    }
    for (const auto &[target, ids] : due) {
        for (std::size_t first = 0; first < ids.size(); first += settings.maxJobsPerMessage) {
            const std::size_t last = std::min(ids.size(), first + settings.maxJobsPerMessage);
            const auto begin = ids.begin() + static_cast<std::ptrdiff_t>(first);
            const auto end = ids.begin() + static_cast<std::ptrdiff_t>(last);
            deliverBatch(target.first, target.second, std::vector<JobId>(begin, end), now);
        }
    }
}

void JobForwarder::Private::deliverDueCancels(TimePoint now)
{
    std::map<ShardId, std::vector<JobId>> due;
    cancels.erase(std::remove_if(cancels.begin(), cancels.end(), [now](const PendingCancel &cancel) { return now >= cancel.expiresAt; }), cancels.end());
    for (const PendingCancel &cancel : cancels) {
        if (now >= cancel.due) {
            due[cancel.shard].push_back(cancel.job);
        }
    }
    for (const auto &[shard, ids] : due) {
        const auto owner = findOwner(shard, now);
        const bool isOwnedLocally = owner && owner->ownedLocally;
        const OpId op = nextOp();
        for (PendingCancel &cancel : cancels) {
            if (cancel.shard == shard && now >= cancel.due) {
                cancel.due = now + settings.resendInterval;
                cancel.op = op;
            }
        }
        if (isOwnedLocally) {
            outputs.emplace_back(CancelLocally{shard, ids});
            cancels.erase(std::remove_if(cancels.begin(), cancels.end(), [op](const PendingCancel &cancel) { return cancel.op == op; }), cancels.end());
        } else if (owner && !owner->owner.isEmpty()) {
            outputs.emplace_back(SendToOwner{owner->owner, CancelForward{op, shard, ids}});
        }
    }
}

JobForwarder::JobForwarder(const JobForwarderSettings &settings, NextOp nextOp, FindOwner findOwner) : d(std::make_unique<Private>())
{
    d->settings = settings;
    d->nextOp = std::move(nextOp);
    d->findOwner = std::move(findOwner);
}

JobForwarder::~JobForwarder() = default;

void JobForwarder::onJobStored(const JobRecord &record, TimePoint now)
{
    d->jobs[record.spec.id] = Private::PendingJob{record, now, OpId()};
    d->nextDue = now;
}

void JobForwarder::onJobCancelled(const JobId &job, const ShardId &shard, TimePoint now)
{
    const auto pending = d->jobs.find(job);
    if (pending != d->jobs.end()) {
        // A reply to the message that contained this job is ignored from now on; the other jobs of the message are sent again.
        d->inFlight.erase(pending->second.op);
        d->jobs.erase(pending);
    }
    d->cancels.push_back(Private::PendingCancel{job, shard, now, now + d->settings.cancelRetryPeriod, OpId()});
    d->nextDue = now;
}

void JobForwarder::onForwardReply(const JobForwardReply &reply, TimePoint now)
{
    const auto found = d->inFlight.find(reply.op);
    if (found == d->inFlight.end()) {
        return;
    }
    for (const JobId &id : found->second) {
        const auto pending = d->jobs.find(id);
        if (pending == d->jobs.end()) {
            continue;
        }
        if (reply.owned) {
            d->jobs.erase(pending);
        } else {
            pending->second.due = now + d->settings.resendInterval / 2;
        }
    }
    d->inFlight.erase(found);
}

void JobForwarder::onCancelReply(const CancelForwardReply &reply)
{
    const auto acknowledged = [&reply](const Private::PendingCancel &cancel) { return cancel.op == reply.op; };
    d->cancels.erase(std::remove_if(d->cancels.begin(), d->cancels.end(), acknowledged), d->cancels.end());
}

void JobForwarder::tick(TimePoint now)
{
    if (now < d->nextDue) {
        return;
    }
    d->deliverDueJobs(now);
    d->deliverDueCancels(now);
    const bool idle = d->jobs.empty() && d->cancels.empty();
    constexpr Duration checkInterval{50};
    d->nextDue = idle ? TimePoint::max() : now + checkInterval;
}

std::vector<JobForwarderOutput> JobForwarder::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

std::size_t JobForwarder::undelivered() const
{
    return d->jobs.size();
}

} // namespace KingCupLadder
