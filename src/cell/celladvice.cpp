// Calls to the policy service by CellScheduler: which workers a call names, and when tickets are renewed.
#include "cellscheduler_p.h"
#include "placementrank.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr double spareWorkersShare =
    0.5; // A renewal of a gang names this many more workers than the gang needs, since other steps may take capacity meanwhile.
constexpr Duration gangRenewalLead{250}; // Tickets of a gang are renewed this much earlier than its start requires.
constexpr Duration latestStartSpan{500}; // Steps whose latest starts are in the same span rank by their gain.
constexpr int maxAdviceErrorsLogged = 5; // Per second.
constexpr std::int64_t freeCpuBucketMilliCores = 2000; // Workers in the same bucket of free CPU are treated as equally free.
constexpr std::uint64_t shuffleModulus = 1000003; // Prime, so that different workers get different positions in the shuffled order.
constexpr Duration adviceRetryInterval{150};
constexpr Duration droppedCallPause{50}; // A step whose call turned out to be useless may need another one once the room has changed.
constexpr Duration renewalBackoff{400}; // Pause between two ticket renewals of a step; doubled each time until the step starts a task.
constexpr int maxRenewalDoublings = 3;
constexpr Duration shortQueueTime{300}; // A gang that fits reserves capacity while its renewal is expected to be queued for at most this time.
constexpr Duration prefetchMargin{150}; // Added to the call's duration: how long before its expected start a step's advice is requested.
constexpr Duration maxAnswerTransit{200}; // The transit of an answer rarely takes longer. If it does, workers may reject its tickets.

} // namespace

const AdviceSettings *CellScheduler::adviceSettings(const StepInstance &step) const
{
    const RouteRules *rules = rulesOf(step.job->job);
    return rules != nullptr && rules->advice ? &*rules->advice : nullptr;
}

void CellScheduler::renewTicketsForGang(StepInstance &step, const GangForecast &forecast, const std::vector<CandidateWorker> &candidates, TimePoint now)
{
    const AdviceSettings &settings = *adviceSettings(step);
    const Duration longestCall = settings.callDuration(std::min(candidates.size(), maxWorkersPerCall));
    const TimePoint needed = std::max(forecast.start, now);
    if (needed > now + longestCall + gangRenewalLead) {
        return; // Too early: the tickets would expire before the start.
    }
    // Tickets that expire before the call for the others is answered have to be renewed with them.
    const TimePoint usableUntil = std::max(needed, now + longestCall) + ticketMargin;
    std::set<WorkerIndex> named;
    for (const TaskAllocation &allocation : forecast.allocations) {
        if (step.advice.find(allocation.worker)->validUntil < usableUntil) {
            named.insert(allocation.worker);
        }
    }
    const std::size_t wanted = named.size() + static_cast<std::size_t>(static_cast<double>(named.size()) * spareWorkersShare) + 1;
    for (const CandidateWorker &candidate : candidates) {
        const bool isStale = step.advice.find(candidate.worker)->validUntil < usableUntil;
        if (named.size() < wanted && isStale && tasksThatFit(step.spec->demand, candidate.free, candidate.maxTasks) > 0) {
            named.insert(candidate.worker);
        }
    }
    std::vector<WorkerId> workers;
    workers.reserve(named.size());
    for (const WorkerIndex worker : named) {
        workers.push_back(m_workers.at(worker)->info.id);
    }
    if (!workers.empty()) {
        renewTickets(step, workers, now);
    }
}

void CellScheduler::renewTickets(StepInstance &step, const std::vector<WorkerId> &workers, TimePoint now)
{
    step.advice.workersToRenew = workers;
    if (step.advice.renewalInFlight || step.advice.nextRenewal > now || step.advice.nextCall > now) {
        return;
    }
    // The policy service is slow, so the pause grows while renewed tickets do not lead to a start.
    const int doublings = std::min(step.advice.renewals++, maxRenewalDoublings);
    step.advice.nextRenewal = now + renewalBackoff * (1 << doublings);
    queueAdviceCall(step, true, now);
}

int CellScheduler::speedOrderToAsk(const StepInstance &step, const SpeedPreference &preference, const Worker &worker)
{
    // Work that has time asks about slow workers only as long as they have room; other work waits for room on a fast one.
    const bool isFullSlowWorker = preference.hasChoice && worker.speed.speedClass == SpeedClass::Slow && !step.spec->demand.fitsIn(worker.free());
    return preference.orderOf(worker.speed.speedClass) + (isFullSlowWorker ? 2 : 0);
}

std::vector<WorkerId> CellScheduler::furtherWorkersToAsk(const StepInstance &step, int missing, TimePoint now) const
{
    const SpeedPreference preference = speedPreference(step, now);
    // With the negated number of fitting tasks, so that the largest comes first.
    std::vector<std::tuple<int, int, WorkerIndex>> workersByFit;
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.wasUsable && step.advice.evaluated.count(worker.index) == 0 && isEligible(step, worker)) {
            const int fits = tasksThatFit(step.spec->demand, worker.free(), step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : missing);
            if (fits > 0) {
                workersByFit.emplace_back(speedOrderToAsk(step, preference, worker), -fits, worker.index);
            }
        }
    }
    std::sort(workersByFit.begin(), workersByFit.end());
    // Another call would cost the fixed part again, so a call that lasts at most twice as long is cheaper if it saves one.
    const std::size_t minWorkers = std::min(adviceSettings(step)->workersForFixedPart(), maxWorkersPerCall);
    const int wanted = slotsToName(missing, step.spec->gang, m_allowedShares.share(step.job->job.route));
    std::vector<WorkerId> workers;
    int taskSlots = 0;
    for (const auto &[speedOrder, negatedFits, worker] : workersByFit) {
        if ((taskSlots >= wanted && workers.size() >= minWorkers) || workers.size() >= maxWorkersPerCall) {
            break;
        }
        taskSlots -= negatedFits;
        workers.push_back(m_workers.at(worker)->info.id);
    }
    return workers;
}

bool CellScheduler::wouldFurtherWorkersSuffice(const StepInstance &step, int missing) const
{
    const double share = m_allowedShares.share(step.job->job.route);
    double expected = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.wasUsable && step.spec->demand.fitsIn(worker.free()) && step.advice.evaluated.count(worker.index) == 0 && isEligible(step, worker)) {
            expected += share * tasksThatFit(step.spec->demand, worker.free(), step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : missing);
            if (expected >= missing) {
                return true;
            }
        }
    }
    return false;
}

Duration CellScheduler::expectedTimeToAnswer(const StepInstance &step, TimePoint now) const
{
    return m_advice.expectedDelay(tierOf(step, now), now) + firstCallDuration(step.job->job.route, *adviceSettings(step));
}

std::vector<WorkerId> CellScheduler::workersToAsk(const StepInstance &step, TimePoint now)
{
    const SpeedPreference preference = speedPreference(step, now);
    using RankedWorker = std::tuple<int, std::int64_t, std::uint64_t, const Worker *>;
    std::vector<RankedWorker> rankedWorkers;
    rankedWorkers.reserve(m_workers.all().size());
    ++m_shuffleSeed;
    for (const auto &[id, worker] : m_workers.all()) {
        // Omits workers named in earlier calls; the test for an empty set only saves the search.
        if (worker.wasUsable && isEligible(step, worker) && (step.advice.evaluated.empty() || step.advice.evaluated.count(worker.index) == 0)) {
            // Without the shuffle, steps that ask at the same time would compete for the same few workers. The factor is
            // Knuth's for multiplicative hashing of 32 bits; the addend is the one for 16 bits.
            const std::uint64_t shuffled = (worker.index + 1) * (m_shuffleSeed * 2654435761U + 40503U) % shuffleModulus;
            rankedWorkers.emplace_back(speedOrderToAsk(step, preference, worker), -worker.free().cpu.value() / freeCpuBucketMilliCores, shuffled, &worker);
        }
    }
    const std::size_t callSize = std::min(rankedWorkers.size(), maxWorkersPerCall);
    std::partial_sort(rankedWorkers.begin(), rankedWorkers.begin() + static_cast<std::ptrdiff_t>(callSize), rankedWorkers.end());
    // Each named worker costs processing time in the service. On a full cell nearly all candidates are named.
    const int perWorker = step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : step.spec->count;
    const double share = m_allowedShares.share(step.job->job.route);
    const int wanted = slotsToName(std::max(step.waiting, 1), step.spec->gang, share);
    const std::size_t minWorkers = minWorkersToName(share);
    std::vector<WorkerId> workers;
    int taskSlots = 0;
    for (std::size_t i = 0; i < callSize && (taskSlots < wanted || workers.size() < minWorkers); ++i) {
        const Worker &worker = *std::get<const Worker *>(rankedWorkers[i]);
        taskSlots += tasksThatFit(step.spec->demand, worker.free(), perWorker);
        workers.push_back(worker.info.id);
    }
    return workers;
}

void CellScheduler::requestAdvice(StepInstance &step, TimePoint now)
{
    // The same workers as in prepareAdviceCall(), which would drop a call without any.
    const bool needsRoom = step.spec->gang && !step.advice.evaluated.empty();
    const bool hasUnknownWorker = std::any_of(m_workers.all().begin(), m_workers.all().end(), [&](const auto &entry) {
        const Worker &worker = entry.second;
        return worker.wasUsable && step.advice.evaluated.count(worker.index) == 0 && isEligible(step, worker)
            && (!needsRoom || step.spec->demand.fitsIn(worker.free()));
    });
    if (!step.advice.questionInFlight && hasUnknownWorker) {
        queueAdviceCall(step, false, now);
    }
}

void CellScheduler::queueAdviceCall(StepInstance &step, bool isRenewal, TimePoint now)
{
    const AdviceSettings *settings = adviceSettings(step);
    if (settings == nullptr || step.advice.nextCall > now) {
        return;
    }
    AdviceCall call;
    call.step = step.ref;
    call.duration = firstCallDuration(step.job->job.route, *settings);
    call.tier = step.isStarving ? starvingTier : tierOf(step, now);
    call.isRenewal = isRenewal;
    call.queuedAt = now;
    (isRenewal ? step.advice.renewalInFlight : step.advice.questionInFlight) = true;
    (isRenewal ? step.advice.renewalSince : step.advice.questionSince) = now;
    if (isRenewal) {
        step.advice.isRenewalSentSoon = m_advice.hasFreeDaemon(now);
    }
    m_advice.add(std::move(call));
}

Duration CellScheduler::firstCallDuration(const RouteName &route, const AdviceSettings &settings) const
{
    return settings.callDuration(minWorkersToName(m_allowedShares.share(route)));
}

std::optional<AdviceRank> CellScheduler::adviceRank(const AdviceCall &call, TimePoint now) const
{
    const StepInstance *step = m_jobs.findStep(call.step);
    if (step == nullptr || step->waiting == 0 || step->job->outcome != CellJobState::Unknown || adviceSettings(*step) == nullptr) {
        return std::nullopt;
    }
    AdviceRank rank;
    if (step->isStarving) {
        rank.tier = starvingTier;
        rank.isDeferrable = false; // Its wait has to end, whatever the load of the service.
        return rank;
    }
    const auto [tier, latestStart] = priorityKey(*step, now);
    rank.tier = tier;
    rank.isLate = tier >= missedSoftDeadlineTierOffset;
    rank.isDeferrable = tier != 0 || call.isRenewal || !step->advice.evaluated.empty();
    rank.latestStart = TimePoint(latestStart.time_since_epoch() / latestStartSpan * latestStartSpan);
    rank.negatedGain = -step->waiting * workOfOneTask(*step->spec) / static_cast<double>(std::max<std::int64_t>(call.duration.count(), 1));
    return rank;
}

bool CellScheduler::prepareAdviceCall(AdviceCall &call, TimePoint now)
{
    const StepInstance &step = *m_jobs.findStep(call.step);
    const bool isBlocked = !isSchedulable(step) || !isWithinWorkspaceMaximum(step, step.spec->gang ? step.spec->count : 1);
    if (isBlocked && !step.advice.evaluated.empty()) {
        return false; // Its tickets would expire before they can be used.
    }
    call.purpose = call.isRenewal ? AdvicePurpose::Renewal : step.advice.evaluated.empty() ? AdvicePurpose::FirstAnswer : AdvicePurpose::FurtherWorkers;
    if (call.isRenewal) {
        // The room may have been taken since the call was queued. A gang's renewal may also be for room that becomes free soon.
        const auto isFull = [&](const WorkerId &id) {
            const Worker *worker = m_workers.find(id);
            return worker == nullptr || !worker->wasUsable || (!step.spec->gang && !step.spec->demand.fitsIn(worker->free()));
        };
        call.workers.clear();
        std::remove_copy_if(step.advice.workersToRenew.begin(), step.advice.workersToRenew.end(), std::back_inserter(call.workers), isFull);
    } else if (step.spec->gang && !step.advice.evaluated.empty()) {
        call.workers = furtherWorkersToAsk(step, std::max(step.missingTasks, 1), now);
    } else {
        call.workers = workersToAsk(step, now);
    }
    call.duration = adviceSettings(step)->callDuration(call.workers.size());
    return !call.workers.empty();
}

std::vector<AdviceCall> CellScheduler::dispatchAdvice(TimePoint now)
{
    AdviceCallHooks hooks;
    hooks.rank = [this, now](const AdviceCall &call) { return adviceRank(call, now); };
    hooks.prepare = [this, now](AdviceCall &call) { return prepareAdviceCall(call, now); };
    hooks.delay = [this, now](const AdviceCall &call, TimePoint expected) {
        if (call.isRenewal) {
            m_jobs.findStep(call.step)->advice.isRenewalSentSoon = expected <= now + shortQueueTime;
        }
    };
    std::vector<AdviceCall> dropped;
    std::vector<AdviceCall> calls = m_advice.dispatch(hooks, now, dropped);
    for (const AdviceCall &call : calls) {
        StepInstance &step = *m_jobs.findStep(call.step);
        if (call.isRenewal) {
            step.advice.isRenewalSentSoon = true;
        }
        AdviceUsage::Calls &usage = m_counters.advice.calls[{rulesOf(step.job->job)->priority, call.purpose}];
        ++usage.calls;
        usage.named += call.workers.size();
        usage.serviceTime += call.duration;
    }
    for (const AdviceCall &call : dropped) {
        StepInstance *step = m_jobs.findStep(call.step);
        if (step == nullptr) {
            continue;
        }
        (call.isRenewal ? step->advice.renewalInFlight : step->advice.questionInFlight) = false;
        step->advice.nextCall = now + droppedCallPause;
        if (call.isRenewal) {
            step->advice.renewals = std::max(step->advice.renewals - 1, 0);
            step->advice.nextRenewal = now;
        }
    }
    return calls;
}

void CellScheduler::logAdviceError(const std::string &fault)
{
    ++m_counters.advice.faultyAnswers;
    if (m_adviceErrorsLogged++ < maxAdviceErrorsLogged) {
        log("answer of the policy service: " + fault);
    }
}

void CellScheduler::onAdvice(std::uint64_t callId, const AdviceAnswer &answer, TimePoint sent, TimePoint now)
{
    const bool isUsable = answer.answered && (answer.allowed.empty() || answer.validity > Duration(0));
    const auto call = m_advice.finish(callId, isUsable, now);
    if (!call) {
        logAdviceError("call " + std::to_string(callId) + " is unknown or has ended, ignored");
        return;
    }
    StepInstance *step = m_jobs.findStep(call->step);
    if (step == nullptr) {
        return;
    }
    (call->isRenewal ? step->advice.renewalInFlight : step->advice.questionInFlight) = false;
    step->consideredAtGeneration = 0;
    if (!isUsable) {
        step->advice.nextCall = now + adviceRetryInterval;
        log("advice call for step " + TaskRef{call->step, 0}.text() + " failed, made by " + call->daemon.value()
            + (answer.answered   ? ": tickets without validity"
                   : answer.busy ? ": too many calls wait"
                                 : ": no answer"));
        return;
    }
    const RouteRules *rules = rulesOf(step->job->job);
    if (rules != nullptr && step->advice.evaluated.empty()) {
        m_counters.advice.firstAnswers[rules->priority].add(step->readySince == TimePoint() ? Duration(0) : now - step->readySince);
    }
    for (const WorkerId &id : call->workers) {
        if (const Worker *worker = m_workers.find(id)) {
            step->advice.evaluated.insert(worker->index);
        }
    }
    // A ticket's validity starts when the service answers, which is between the sending of the call and now.
    const TimePoint validUntil = std::max(sent + answer.validity, now + answer.validity - maxAnswerTransit);
    const std::set<WorkerId> named(call->workers.begin(), call->workers.end());
    std::set<WorkerId> allowed;
    std::size_t ignored = 0;
    for (const auto &[id, ticket] : answer.allowed) {
        if (named.count(id) == 0 || !allowed.insert(id).second) {
            ++ignored;
        } else if (const Worker *worker = m_workers.find(id)) {
            step->advice.put(Ticket{worker->index, ticket, validUntil});
        }
    }
    const std::string stepText = "step " + TaskRef{call->step, 0}.text();
    if (ignored > 0) {
        logAdviceError(stepText + ", " + std::to_string(ignored) + " workers named twice or not asked about, ignored");
    }
    if (answer.allowed.empty()) {
        log(stepText + ": none of " + std::to_string(call->workers.size()) + " workers allowed by the policy service");
    }
    if (!call->isRenewal) {
        m_allowedShares.onAnswer(step->job->job.route, named.size(), allowed.size());
    }
}

void CellScheduler::prefetchAdvice(TimePoint now)
{
    for (const auto &[id, entry] : m_jobs.unfinishedEntries()) {
        if (!entry->stored || entry->steps.size() < 2) {
            continue;
        }
        for (const auto &step : entry->steps) {
            const AdviceSettings *settings =
                step->readySince == TimePoint() && step->waiting > 0 && step->advice.evaluated.empty() ? adviceSettings(*step) : nullptr;
            if (settings == nullptr || step->advice.questionInFlight) {
                continue;
            }
            const bool soon = std::all_of(step->spec->after.begin(), step->spec->after.end(), [&](int before) {
                const StepInstance *earlier = m_jobs.findStep(StepRef{step->ref.job, step->ref.occurrence, before});
                // An upper bound: a call never names more than all workers, nor more than maxWorkersPerCall.
                const Duration ahead = settings->callDuration(std::min(m_workers.all().size(), maxWorkersPerCall)) + prefetchMargin;
                return earlier == nullptr || earlier->isDone() || (earlier->waiting == 0 && earlier->expectedEnd <= now + ahead);
            });
            if (soon) {
                requestAdvice(*step, now);
            }
        }
    }
}

} // namespace KingCupLadder
