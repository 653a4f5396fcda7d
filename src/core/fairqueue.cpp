// Each team has one lane per priority. Two ordered sets per priority select the next lane: one by weighted share, one by the time
// since which the lane has waited.
#include "fairqueue.h"

#include "fairqueuelane.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>
#include <vector>

namespace KingCupLadder {

namespace {

constexpr std::size_t priorities = 2;

std::size_t indexOf(Priority priority)
{
    return priority == Priority::Urgent ? 1 : 0;
}

/// A lane and its keys in the ordered sets of its priority.
struct TeamLane {
    FairQueueLane jobs;
    bool isInSets = false; ///< Whether it is in byShare and byAge; false while it is empty or has no eligible job left in this round.
    double shareKey = 0.0;
    TimePoint ageKey = TimePoint::min(); ///< A lower bound of max(arrival of the first job, lastServed).
    TimePoint lastServed = TimePoint::min();
};

struct TeamState {
    TeamId id;
    double share = 1.0;
    Resources allotment;
    Resources use;
    Resources waiting; ///< Demand of all queued tasks.
    std::array<TeamLane, priorities> lanes;
};

} // namespace

class FairQueue::Private
{
public:
    using TeamNumber = std::uint32_t;

    explicit Private(const FairQueueSettings &chosen) : settings(chosen) { }

    TeamNumber numberOf(const TeamId &team);
    const TeamState *find(const TeamId &team) const;
    double weightedShare(const TeamState &team) const;
    void shareChanged(TeamNumber number);
    void addToSets(TeamNumber number, std::size_t priority);
    void removeFromSets(TeamNumber number, std::size_t priority);
    void setAgeKey(TeamNumber number, std::size_t priority, TimePoint key);
    bool accepts(const TeamState &team, const QueueEntry &entry) const;
    bool isDemandSkipped(std::size_t priority, const Resources &demand) const;
    const QueuedJob *headOf(TeamNumber number, std::size_t priority);
    const QueuedJob *nextAged(std::size_t priority);
    const QueuedJob *nextByShare(std::size_t priority);
    void insert(const QueueEntry &entry);
    void erase(QueuedJobs::iterator job);

    FairQueueSettings settings;
    Resources total;
    std::vector<TeamState> teams;
    std::unordered_map<TeamId, TeamNumber> numbers;
    QueuedJobs jobs;
    std::uint64_t arrivals = 0;
    std::uint64_t round = 1;
    TimePoint now{};
    std::array<std::set<std::pair<double, TeamNumber>>, priorities> byShare;
    std::array<std::set<std::pair<TimePoint, TeamNumber>>, priorities> byAge;
    std::array<std::vector<Resources>, priorities> skippedDemands; ///< Set by skipDemand(); no entry covers another one.
};

FairQueue::Private::TeamNumber FairQueue::Private::numberOf(const TeamId &team)
{
    const auto [found, isNew] = numbers.try_emplace(team, static_cast<TeamNumber>(teams.size()));
    if (isNew) {
        teams.emplace_back();
        teams.back().id = team;
    }
    return found->second;
}

const TeamState *FairQueue::Private::find(const TeamId &team) const
{
    const auto found = numbers.find(team);
    return found == numbers.end() ? nullptr : &teams[found->second];
}

double FairQueue::Private::weightedShare(const TeamState &team) const
{
    return team.use.dominantShareOf(total) / team.share;
}

void FairQueue::Private::shareChanged(TeamNumber number)
{
    const double key = weightedShare(teams[number]);
    for (std::size_t priority = 0; priority < priorities; ++priority) {
        TeamLane &lane = teams[number].lanes[priority];
        if (lane.isInSets && lane.shareKey != key) {
            byShare[priority].erase({lane.shareKey, number});
            byShare[priority].insert({key, number});
        }
        lane.shareKey = key;
    }
}

void FairQueue::Private::addToSets(TeamNumber number, std::size_t priority)
{
    TeamLane &lane = teams[number].lanes[priority];
    if (lane.isInSets) {
        return;
    }
    lane.isInSets = true;
    lane.ageKey = TimePoint::min(); // A lower bound; nextAged() computes the exact key.
    byShare[priority].insert({lane.shareKey, number});
    byAge[priority].insert({lane.ageKey, number});
}

void FairQueue::Private::removeFromSets(TeamNumber number, std::size_t priority)
{
    TeamLane &lane = teams[number].lanes[priority];
    if (lane.isInSets) {
        lane.isInSets = false;
        byShare[priority].erase({lane.shareKey, number});
        byAge[priority].erase({lane.ageKey, number});
    }
}

void FairQueue::Private::setAgeKey(TeamNumber number, std::size_t priority, TimePoint key)
{
    TeamLane &lane = teams[number].lanes[priority];
    byAge[priority].erase({lane.ageKey, number});
    lane.ageKey = key;
    byAge[priority].insert({key, number});
}

bool FairQueue::Private::isDemandSkipped(std::size_t priority, const Resources &demand) const
{
    const std::vector<Resources> &skipped = skippedDemands[priority];
    return std::any_of(skipped.begin(), skipped.end(), [&demand](const Resources &least) { return least.fitsIn(demand); });
}

bool FairQueue::Private::accepts(const TeamState &team, const QueueEntry &entry) const
{
    const std::int64_t gangSize = entry.allAtOnce ? entry.tasks : 1;
    return (team.use + entry.demand * gangSize).fitsIn(team.allotment) && !isDemandSkipped(indexOf(entry.priority), entry.demand);
}

const QueuedJob *FairQueue::Private::headOf(TeamNumber number, std::size_t priority)
{
    TeamState &team = teams[number];
    FairQueueLane &lane = team.lanes[priority].jobs;
    const Resources &smallest = lane.smallestDemand();
    const QueuedJob *head = nullptr;
    if (!lane.isEmpty() && (team.use + smallest).fitsIn(team.allotment) && !isDemandSkipped(priority, smallest)) {
        head = lane.head(jobs, round, [this, &team](const QueueEntry &entry) { return accepts(team, entry); });
    }
    if (head == nullptr) {
        removeFromSets(number, priority);
    }
    return head;
}

const QueuedJob *FairQueue::Private::nextAged(std::size_t priority)
{
    auto &lanes = byAge[priority];
    while (!lanes.empty() && (lanes.begin()->first == TimePoint::min() || now - lanes.begin()->first >= settings.ageingTime)) {
        const TeamNumber number = lanes.begin()->second;
        const QueuedJob *head = headOf(number, priority);
        if (head == nullptr) {
            continue;
        }
        const TeamLane &lane = teams[number].lanes[priority];
        // Ageing applies only to lanes that started nothing for the whole ageing time. If the arrival time alone counted, a team
        // with a long backlog would be scheduled by arrival instead of by share.
        const TimePoint since = std::max(head->entry.since, lane.lastServed);
        if (since == lane.ageKey) {
            return head;
        }
        setAgeKey(number, priority, since);
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
    const TeamNumber number = numberOf(entry.team);
    const std::size_t priority = indexOf(entry.priority);
    QueuedJob &job = jobs[entry.job];
    job = QueuedJob{entry, {entry.since, ++arrivals}, number, 0};
    TeamLane &lane = teams[number].lanes[priority];
    lane.jobs.push(job);
    teams[number].waiting += entry.demand * entry.tasks;
    addToSets(number, priority);
    if (entry.since < lane.ageKey) {
        setAgeKey(number, priority, entry.since);
    }
}

void FairQueue::Private::erase(QueuedJobs::iterator job)
{
    const QueueEntry entry = job->second.entry;
    const TeamNumber number = job->second.team;
    jobs.erase(job);
    teams[number].waiting -= entry.demand * entry.tasks;
    teams[number].lanes[indexOf(entry.priority)].jobs.forget(entry, jobs);
}

FairQueue::FairQueue(const FairQueueSettings &settings) : d(std::make_unique<Private>(settings)) { }

FairQueue::~FairQueue() = default;

void FairQueue::setTeam(const TeamId &team, double share)
{
    assert(share > 0.0);
    const Private::TeamNumber number = d->numberOf(team);
    d->teams[number].share = share;
    d->shareChanged(number);
}

void FairQueue::setAllotment(const TeamId &team, const Resources &allotment)
{
    d->teams[d->numberOf(team)].allotment = allotment;
}

void FairQueue::setTotal(const Resources &total)
{
    d->total = total;
    for (Private::TeamNumber number = 0; number < d->teams.size(); ++number) {
        d->shareChanged(number);
    }
}

void FairQueue::charge(const TeamId &team, const Resources &amount)
{
    const Private::TeamNumber number = d->numberOf(team);
    d->teams[number].use += amount;
    d->shareChanged(number);
}

void FairQueue::discharge(const TeamId &team, const Resources &amount)
{
    const Private::TeamNumber number = d->numberOf(team);
    d->teams[number].use -= amount;
    d->shareChanged(number);
}

Resources FairQueue::use(const TeamId &team) const
{
    const TeamState *state = d->find(team);
    return state == nullptr ? Resources{} : state->use;
}

bool FairQueue::admits(const TeamId &team, const Resources &amount) const
{
    const TeamState *state = d->find(team);
    return state != nullptr && (state->use + amount).fitsIn(state->allotment);
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
        d->teams[job.team].waiting += job.entry.demand * entry.tasks;
        d->teams[job.team].lanes[indexOf(job.entry.priority)].jobs.addTasks(entry.tasks);
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
        tasks += team.lanes[0].jobs.tasks() + team.lanes[1].jobs.tasks();
    }
    return tasks;
}

std::uint32_t FairQueue::queuedTasks(const TeamId &team) const
{
    const TeamState *state = d->find(team);
    return state == nullptr ? 0 : state->lanes[0].jobs.tasks() + state->lanes[1].jobs.tasks();
}

Resources FairQueue::queuedDemand(const TeamId &team) const
{
    const TeamState *state = d->find(team);
    return state == nullptr ? Resources{} : state->waiting;
}

void FairQueue::beginRound(TimePoint now)
{
    ++d->round;
    d->now = now;
    for (std::size_t priority = 0; priority < priorities; ++priority) {
        d->skippedDemands[priority].clear();
        for (Private::TeamNumber number = 0; number < d->teams.size(); ++number) {
            FairQueueLane &lane = d->teams[number].lanes[priority].jobs;
            const bool restored = lane.restore();
            if (restored && d->teams[number].lanes[priority].isInSets) {
                d->setAgeKey(number, priority, TimePoint::min()); // A restored job may be older than the current key.
            }
            if (!lane.isEmpty()) {
                d->addToSets(number, priority);
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

void FairQueue::take(const JobId &job)
{
    const auto found = d->jobs.find(job);
    if (found == d->jobs.end()) {
        return;
    }
    QueueEntry &entry = found->second.entry;
    const std::uint32_t taken = entry.allAtOnce ? entry.tasks : 1;
    TeamLane &lane = d->teams[found->second.team].lanes[indexOf(entry.priority)];
    lane.lastServed = d->now;
    charge(entry.team, entry.demand * taken);
    if (taken == entry.tasks) {
        d->erase(found);
        return;
    }
    entry.tasks -= taken;
    d->teams[found->second.team].waiting -= entry.demand * taken;
    lane.jobs.subtractTasks(taken);
}

} // namespace KingCupLadder
