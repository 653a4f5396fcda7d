// Calls to the policy service: which workers to ask about, and when to renew tickets.
#include "cellscheduler_p.h"

#include <algorithm>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr Duration renewAhead{250}; // Tickets of a gang that could start soon are renewed this much earlier than needed.
constexpr std::size_t fewestNamed = 16; // A policy may allow a third of the workers; one of so many is almost certainly allowed.
constexpr int workersPerTask = 4; // Room that is asked about for each task: a third of it is allowed, and others take some meanwhile.
constexpr std::int64_t roomClass = 2000; // Workers whose room differs by less count as equally free.
constexpr std::uint64_t shuffleRange = 1000003;
constexpr Duration adviceRetry{150};
constexpr Duration renewalPause{400}; // Between two renewals of a step's tickets; doubled until the step starts a task.
constexpr int longestRenewalDoublings = 3;
constexpr Duration prefetchSlack{150};
constexpr Duration adviceTransit{200}; // An answer rarely takes longer from the service to here.

} // namespace
const AdviceSettings *CellScheduler::adviceTerms(const StepInstance &step) const
{
    const CellRoute *route = m_config->route(step.job->job.route);
    return route != nullptr && route->advice ? &*route->advice : nullptr;
}

void CellScheduler::renewForGang(StepInstance &step, const GangForecast &forecast, const std::vector<CandidateWorker> &rooms, TimePoint now)
{
    const TimePoint needed = std::max(forecast.start, now);
    const auto isStale = [&](WorkerIndex worker) { return step.advice.find(worker)->validUntil < needed + ticketMargin; };
    std::set<WorkerIndex> named;
    bool stale = false;
    for (const Share &share : forecast.shares) {
        named.insert(share.worker);
        stale = stale || isStale(share.worker);
    }
    // Some more than needed, since others may take room meanwhile.
    const std::size_t wanted = named.size() + named.size() / 2 + 1;
    for (const CandidateWorker &room : rooms) {
        if (named.size() < wanted && tasksThatFit(step.spec->demand, room.free, room.maxTasks) > 0) {
            named.insert(room.worker);
        }
    }
    std::vector<WorkerId> workers;
    workers.reserve(named.size());
    for (const WorkerIndex worker : named) {
        workers.push_back(m_workers.at(worker)->info.id);
    }
    if (stale && needed <= now + adviceTerms(step)->callDuration(workers.size()) + renewAhead) {
        renewTickets(step, workers, now);
    }
}

void CellScheduler::renewTickets(StepInstance &step, const std::vector<WorkerId> &workers, TimePoint now)
{
    if (step.advice.inFlight || step.advice.nextRenewal > now) {
        return;
    }
    // The policy service is slow: a step whose renewed tickets did not lead to a start waits longer each time.
    const int doublings = std::min(step.advice.renewals++, longestRenewalDoublings);
    step.advice.nextRenewal = now + renewalPause * (1 << doublings);
    requestAdviceFor(step, workers, now);
}

bool CellScheduler::askFurther(StepInstance &step, int missing, TimePoint now)
{
    if (step.advice.inFlight || step.advice.nextCall > now) {
        return false;
    }
    std::vector<std::pair<int, WorkerIndex>> candidates;
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.wasUsable && step.advice.asked.count(worker.index) == 0 && isEligible(step, worker)) {
            const int fits = tasksThatFit(step.spec->demand, worker.free(), step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : missing);
            if (fits > 0) {
                candidates.emplace_back(-fits, worker.index);
            }
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<WorkerId> workers;
    int hoped = 0;
    for (const auto &[fits, worker] : candidates) {
        if (hoped >= missing * workersPerTask || workers.size() >= maxWorkersPerCall) {
            break;
        }
        hoped -= fits;
        workers.push_back(m_workers.at(worker)->info.id);
    }
    if (!workers.empty()) {
        requestAdviceFor(step, workers, now);
    }
    return !workers.empty();
}

std::vector<WorkerId> CellScheduler::workersToAsk(const StepInstance &step)
{
    using Candidate = std::tuple<std::int64_t, std::uint64_t, const Worker *>;
    std::vector<Candidate> candidates;
    candidates.reserve(m_workers.all().size());
    ++m_askOrder;
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.wasUsable && isEligible(step, worker) && (step.advice.asked.empty() || step.advice.asked.count(worker.index) == 0)) {
            // Steps that ask at the same time would otherwise all hope for the same few workers.
            const std::uint64_t shuffled = (worker.index + 1) * (m_askOrder * 2654435761U + 40503U) % shuffleRange;
            candidates.emplace_back(-worker.free().cpu.value() / roomClass, shuffled, &worker);
        }
    }
    const std::size_t most = std::min(candidates.size(), maxWorkersPerCall);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(most), candidates.end());
    // Each worker that is named costs time in the service. On a full cell nearly all of them are named.
    const int perWorker = step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : step.spec->count;
    const int wanted = step.spec->count * workersPerTask;
    std::vector<WorkerId> workers;
    int hoped = 0;
    for (std::size_t i = 0; i < most && (hoped < wanted || workers.size() < fewestNamed); ++i) {
        const Worker &worker = *std::get<const Worker *>(candidates[i]);
        hoped += tasksThatFit(step.spec->demand, worker.free(), perWorker);
        workers.push_back(worker.info.id);
    }
    return workers;
}

void CellScheduler::requestAdvice(StepInstance &step, TimePoint now)
{
    if (!step.advice.inFlight && step.advice.nextCall <= now) {
        requestAdviceFor(step, workersToAsk(step), now);
    }
}

void CellScheduler::requestAdviceFor(StepInstance &step, const std::vector<WorkerId> &workers, TimePoint now)
{
    const AdviceSettings *terms = adviceTerms(step);
    if (terms == nullptr || workers.empty() || step.advice.nextCall > now) {
        return;
    }
    AdviceCall call;
    call.step = step.ref;
    call.workers = workers;
    call.duration = terms->callDuration(workers.size());
    call.priority = orderKey(step, now).first;
    step.advice.inFlight = true;
    m_advice.add(std::move(call));
}

void CellScheduler::onAdvice(std::uint64_t callId, const AdviceAnswer &answer, TimePoint sent, TimePoint now)
{
    const auto call = m_advice.finish(callId);
    StepInstance *step = call ? m_jobs.findStep(call->step) : nullptr;
    if (step == nullptr) {
        return;
    }
    step->advice.inFlight = false;
    step->triedAt = 0;
    if (!answer.answered) {
        step->advice.nextCall = now + adviceRetry;
        log("advice for step " + TaskRef{call->step, 0}.text() + " failed on " + call->lane.value() + (answer.busy ? ": too many calls wait" : ": no answer"));
        return;
    }
    for (const WorkerId &id : call->workers) {
        if (const Worker *worker = m_workers.find(id)) {
            step->advice.asked.insert(worker->index);
        }
    }
    // The ticket's time began when the service answered, at the latest now and at the earliest when the call was sent.
    const TimePoint validUntil = std::max(sent + answer.validity, now + answer.validity - adviceTransit);
    for (const auto &[id, ticket] : answer.good) {
        if (const Worker *worker = m_workers.find(id)) {
            step->advice.put(Ticket{worker->index, ticket, validUntil});
        }
    }
}

void CellScheduler::prefetchAdvice(TimePoint now)
{
    for (const auto &[id, entry] : m_jobs.open()) {
        if (!entry->stored || entry->steps.size() < 2) {
            continue;
        }
        for (const auto &step : entry->steps) {
            const AdviceSettings *terms = step->readySince == TimePoint() && step->waiting > 0 && step->advice.asked.empty() ? adviceTerms(*step) : nullptr;
            if (terms == nullptr || step->advice.inFlight) {
                continue;
            }
            const bool soon = std::all_of(step->spec->after.begin(), step->spec->after.end(), [&](int before) {
                const StepInstance *earlier = m_jobs.findStep(StepRef{step->ref.job, step->ref.occurrence, before});
                const Duration ahead = terms->callDuration(m_workers.all().size()) + prefetchSlack;
                return earlier == nullptr || earlier->isDone() || (earlier->waiting == 0 && earlier->expectedEnd <= now + ahead);
            });
            if (soon) {
                requestAdvice(*step, now);
            }
        }
    }
}

} // namespace KingCupLadder
