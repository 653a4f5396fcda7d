// Each team has one queue per priority. Two ordered sets per priority select the queue from which the next job comes: one by weighted
// share, one by the time since which the queue has waited.
#include "fairqueue.h"

#include "teamqueue.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>
#include <vector>

namespace KingCupLadder {

namespace {

constexpr std::size_t priorityCount = 2;

std::size_t indexOf(Priority priority)
{
    return priority == Priority::Urgent ? 1 : 0;
}

/// The queue of one team at one priority, with its keys in the ordered sets of that priority.
struct RankedTeamQueue {
    TeamQueue queue;
    bool isInSets = false; ///< Whether it is in byShare and byAge; false while the queue is empty or has no eligible job left in this round.
    double shareKey = 0.0;
    TimePoint ageKey = TimePoint::min(); ///< A lower bound of max(arrival of the first job, lastDequeued).
    TimePoint lastDequeued = TimePoint::min(); ///< Time of the last dequeue() of a job of this queue.
};

struct TeamState {
    TeamId id;
    double weight = 1.0; ///< Divides the dominant share.
    Resources allotment;
    Resources usage;
    Resources totalDemand; ///< Demand of all queued tasks.
    std::array<RankedTeamQueue, priorityCount> queues;
};

} // namespace

class FairQueue::Private
{
public:
    using TeamIndex = std::uint32_t;

    explicit Private(const FairQueueSettings &chosen) : settings(chosen) { }

    TeamIndex findOrAddTeam(const TeamId &team);
    const TeamState *find(const TeamId &team) const;
    double weightedShare(const TeamState &team) const;
    void shareChanged(TeamIndex teamIndex);
    void addToSets(TeamIndex teamIndex, std::size_t priority);
    void removeFromSets(TeamIndex teamIndex, std::size_t priority);
    void setAgeKey(TeamIndex teamIndex, std::size_t priority, TimePoint key);
    bool isEligible(const TeamState &team, const QueueEntry &entry) const;
    bool isDemandSkipped(std::size_t priority, const Resources &demand) const;
    const QueuedJob *headOf(TeamIndex teamIndex, std::size_t priority);
    const QueuedJob *nextAged(std::size_t priority);
    const QueuedJob *nextByShare(std::size_t priority);
    void insert(const QueueEntry &entry);
    void erase(QueuedJobs::iterator job);

    FairQueueSettings settings;
    Resources total;
    std::vector<TeamState> teams;
    std::unordered_map<TeamId, TeamIndex> teamIndexes;
    QueuedJobs jobs;
    std::uint64_t arrivals = 0;
    std::uint64_t round = 1;
    TimePoint now{};
    std::array<std::set<std::pair<double, TeamIndex>>, priorityCount> byShare;
    std::array<std::set<std::pair<TimePoint, TeamIndex>>, priorityCount> byAge;
    std::array<std::vector<Resources>, priorityCount>
        skippedDemands; ///< Set by skipDemand(). No demand fits in another one, since the larger one would be redundant.
};

FairQueue::Private::TeamIndex FairQueue::Private::findOrAddTeam(const TeamId &team)
{
    const auto [found, isNew] = teamIndexes.try_emplace(team, static_cast<TeamIndex>(teams.size()));
    if (isNew) {
        teams.emplace_back();
        teams.back().id = team;
    }
    return found->second;
}

const TeamState *FairQueue::Private::find(const TeamId &team) const
{
    const auto found = teamIndexes.find(team);
    return found == teamIndexes.end() ? nullptr : &teams[found->second];
}

double FairQueue::Private::weightedShare(const TeamState &team) const
{
    return team.usage.dominantShareOf(total) / team.weight;
}

void FairQueue::Private::shareChanged(TeamIndex teamIndex)
{
    const double key = weightedShare(teams[teamIndex]);
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        RankedTeamQueue &ranked = teams[teamIndex].queues[priority];
        if (ranked.isInSets && ranked.shareKey != key) {
            byShare[priority].erase({ranked.shareKey, teamIndex});
            byShare[priority].insert({key, teamIndex});
        }
        ranked.shareKey = key;
    }
}

void FairQueue::Private::addToSets(TeamIndex teamIndex, std::size_t priority)
{
    RankedTeamQueue &ranked = teams[teamIndex].queues[priority];
    if (ranked.isInSets) {
        return;
    }
    ranked.isInSets = true;
    ranked.ageKey = TimePoint::min(); // A lower bound; nextAged() computes the exact key.
    byShare[priority].insert({ranked.shareKey, teamIndex});
    byAge[priority].insert({ranked.ageKey, teamIndex});
}

void FairQueue::Private::removeFromSets(TeamIndex teamIndex, std::size_t priority)
{
    RankedTeamQueue &ranked = teams[teamIndex].queues[priority];
    if (ranked.isInSets) {
        ranked.isInSets = false;
        byShare[priority].erase({ranked.shareKey, teamIndex});
        byAge[priority].erase({ranked.ageKey, teamIndex});
    }
}

void FairQueue::Private::setAgeKey(TeamIndex teamIndex, std::size_t priority, TimePoint key)
{
    RankedTeamQueue &ranked = teams[teamIndex].queues[priority];
    byAge[priority].erase({ranked.ageKey, teamIndex});
    ranked.ageKey = key;
    byAge[priority].insert({key, teamIndex});
}

bool FairQueue::Private::isDemandSkipped(std::size_t priority, const Resources &demand) const
{
    const std::vector<Resources> &skipped = skippedDemands[priority];
    return std::any_of(skipped.begin(), skipped.end(), [&demand](const Resources &skippedDemand) { return skippedDemand.fitsIn(demand); });
}

bool FairQueue::Private::isEligible(const TeamState &team, const QueueEntry &entry) const
{
    const std::int64_t gangSize = entry.allAtOnce ? entry.tasks : 1;
    return (team.usage + entry.demand * gangSize).fitsIn(team.allotment) && !isDemandSkipped(indexOf(entry.priority), entry.demand);
}

const QueuedJob *FairQueue::Private::headOf(TeamIndex teamIndex, std::size_t priority)
{
    TeamState &team = teams[teamIndex];
    TeamQueue &teamQueue = team.queues[priority].queue;
    const Resources &smallest = teamQueue.smallestDemand();
    const QueuedJob *head = nullptr;
    if (!teamQueue.isEmpty() && (team.usage + smallest).fitsIn(team.allotment) && !isDemandSkipped(priority, smallest)) {
        head = teamQueue.head(jobs, round, [this, &team](const QueueEntry &entry) { return isEligible(team, entry); });
    }
    if (head == nullptr) {
        removeFromSets(teamIndex, priority);
    }
    return head;
}

const QueuedJob *FairQueue::Private::nextAged(std::size_t priority)
{
    auto &teamsByAge = byAge[priority];
    // TimePoint::min() is compared on its own, since subtracting it from now would overflow.
    while (!teamsByAge.empty() && (teamsByAge.begin()->first == TimePoint::min() || now - teamsByAge.begin()->first >= settings.ageingTime)) {
        const TeamIndex teamIndex = teamsByAge.begin()->second;
        const QueuedJob *head = headOf(teamIndex, priority);
        if (head == nullptr) {
            continue;
        }
        const RankedTeamQueue &ranked = teams[teamIndex].queues[priority];
        // A queue is aged only if none of its jobs started during the whole ageing time. If only the arrival of the first job counted,
        // a team with a long backlog would always be aged and be scheduled by arrival instead of by share.
        const TimePoint waitingSince = std::max(head->entry.queuedAt, ranked.lastDequeued);
        if (waitingSince == ranked.ageKey) {
            return head;
        }
        setAgeKey(teamIndex, priority, waitingSince);
    }
    return nullptr;
}

const QueuedJob *FairQueue::Private::nextByShare(std::size_t priority)
{
    while (!byShare[priority].empty()) {
        if (const QueuedJob *head = headOf(byShare[priority].begin()->second, priority)) {
            return head;
        }
    }
    return nullptr;
}

void FairQueue::Private::insert(const QueueEntry &entry)
{
    const TeamIndex teamIndex = findOrAddTeam(entry.team);
    const std::size_t priority = indexOf(entry.priority);
    QueuedJob &job = jobs[entry.job];
    job = QueuedJob{entry, {entry.queuedAt, ++arrivals}, teamIndex, 0};
    RankedTeamQueue &ranked = teams[teamIndex].queues[priority];
    ranked.queue.push(job);
    teams[teamIndex].totalDemand += entry.demand * entry.tasks;
    addToSets(teamIndex, priority);
    if (entry.queuedAt < ranked.ageKey) {
        setAgeKey(teamIndex, priority, entry.queuedAt);
    }
}

void FairQueue::Private::erase(QueuedJobs::iterator job)
{
    const QueueEntry entry = job->second.entry;
    const TeamIndex teamIndex = job->second.team;
    jobs.erase(job);
    teams[teamIndex].totalDemand -= entry.demand * entry.tasks;
    teams[teamIndex].queues[indexOf(entry.priority)].queue.onJobRemoved(entry, jobs);
}

FairQueue::FairQueue(const FairQueueSettings &settings) : d(std::make_unique<Private>(settings)) { }

FairQueue::~FairQueue() = default;

void FairQueue::setTeamWeight(const TeamId &team, double weight)
{
    assert(weight > 0.0);
    const Private::TeamIndex teamIndex = d->findOrAddTeam(team);
    d->teams[teamIndex].weight = weight;
    d->shareChanged(teamIndex);
}

void FairQueue::setAllotment(const TeamId &team, const Resources &allotment)
{
    d->teams[d->findOrAddTeam(team)].allotment = allotment;
}

void FairQueue::setTotalCapacity(const Resources &total)
{
    d->total = total;
    for (Private::TeamIndex teamIndex = 0; teamIndex < d->teams.size(); ++teamIndex) {
        d->shareChanged(teamIndex);
    }
}

void FairQueue::charge(const TeamId &team, const Resources &amount)
{
    const Private::TeamIndex teamIndex = d->findOrAddTeam(team);
    d->teams[teamIndex].usage += amount;
    d->shareChanged(teamIndex);
}

void FairQueue::discharge(const TeamId &team, const Resources &amount)
{
    const Private::TeamIndex teamIndex = d->findOrAddTeam(team);
    d->teams[teamIndex].usage -= amount;
    d->shareChanged(teamIndex);
}

Resources FairQueue::usage(const TeamId &team) const
{
    const TeamState *state = d->find(team);
    return state == nullptr ? Resources{} : state->usage;
}

bool FairQueue::fitsAllotment(const TeamId &team, const Resources &amount) const
{
    const TeamState *state = d->find(team);
    return state != nullptr && (state->usage + amount).fitsIn(state->allotment);
}

void FairQueue::push(const QueueEntry &entry)
{
    const auto found = d->jobs.find(entry.job);
    if (found == d->jobs.end()) {
        d->insert(entry);
        return;
    }
    QueuedJob &job = found->second;
    if (!job.entry.allAtOnce) {
        job.entry.tasks += entry.tasks;
        d->teams[job.team].totalDemand += job.entry.demand * entry.tasks;
        d->teams[job.team].queues[indexOf(job.entry.priority)].queue.addTasks(entry.tasks);
        return;
    }
    // The group key of an all-at-once job includes its task count, so the job changes its group.
    QueueEntry larger = job.entry;
    larger.tasks += entry.tasks;
    d->erase(found);
    d->insert(larger);
}

void FairQueue::remove(const JobId &job)
{
    const auto found = d->jobs.find(job);
    if (found != d->jobs.end()) {
        d->erase(found);
    }
}

bool FairQueue::contains(const JobId &job) const
{
    return d->jobs.count(job) > 0;
}

std::uint32_t FairQueue::queuedTasks() const
{
    std::uint32_t tasks = 0;
    for (const TeamState &team : d->teams) {
        tasks += team.queues[0].queue.tasks() + team.queues[1].queue.tasks();
    }
    return tasks;
}

std::uint32_t FairQueue::queuedTasks(const TeamId &team) const
{
    const TeamState *state = d->find(team);
    return state == nullptr ? 0 : state->queues[0].queue.tasks() + state->queues[1].queue.tasks();
}

Resources FairQueue::queuedDemand(const TeamId &team) const
{
    const TeamState *state = d->find(team);
    return state == nullptr ? Resources{} : state->totalDemand;
}

void FairQueue::beginRound(TimePoint now)
{
    ++d->round;
    d->now = now;
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        d->skippedDemands[priority].clear();
        for (Private::TeamIndex teamIndex = 0; teamIndex < d->teams.size(); ++teamIndex) {
            TeamQueue &teamQueue = d->teams[teamIndex].queues[priority].queue;
            const bool restored = teamQueue.restore();
            if (restored && d->teams[teamIndex].queues[priority].isInSets) {
                d->setAgeKey(teamIndex, priority, TimePoint::min()); // The key must stay a lower bound, and a restored job may be older.
            }
            if (!teamQueue.isEmpty()) {
                d->addToSets(teamIndex, priority);
            }
        }
    }
}

std::optional<QueueEntry> FairQueue::next()
{
    for (const std::size_t priority : {indexOf(Priority::Urgent), indexOf(Priority::Normal)}) {
        const QueuedJob *job = d->nextAged(priority);
        if (job == nullptr) {
            job = d->nextByShare(priority);
        }
        if (job != nullptr) {
            return job->entry;
        }
    }
    return std::nullopt;
}

void FairQueue::skip(const JobId &job)
{
    const auto found = d->jobs.find(job);
    if (found != d->jobs.end()) {
        found->second.skippedInRound = d->round;
    }
}

void FairQueue::skipDemand(Priority priority, const Resources &demand)
{
    std::vector<Resources> &skipped = d->skippedDemands[indexOf(priority)];
    if (d->isDemandSkipped(indexOf(priority), demand)) {
        return;
    }
    const auto isCovered = [&demand](const Resources &other) { return demand.fitsIn(other); };
    skipped.erase(std::remove_if(skipped.begin(), skipped.end(), isCovered), skipped.end());
    skipped.push_back(demand);
}

void FairQueue::dequeue(const JobId &job)
{
    const auto found = d->jobs.find(job);
    if (found == d->jobs.end()) {
        return;
    }
    QueueEntry &entry = found->second.entry;
    const std::uint32_t removed = entry.allAtOnce ? entry.tasks : 1;
    RankedTeamQueue &ranked = d->teams[found->second.team].queues[indexOf(entry.priority)];
    ranked.lastDequeued = d->now;
    charge(entry.team, entry.demand * removed);
    if (removed == entry.tasks) {
        d->erase(found);
        return;
    }
    entry.tasks -= removed;
    d->teams[found->second.team].totalDemand -= entry.demand * removed;
    ranked.queue.subtractTasks(removed);
}

} // namespace KingCupLadder
