// Speeds of workers and durations of tasks in CellScheduler: observations from the workers' lists, classes of the workers, and which class
// suits a step.
#include "cellscheduler_p.h"
#include "placementrank.h"

#include <algorithm>
#include <cmath>

namespace KingCupLadder {

namespace {

constexpr Duration speedUpdateInterval{200}; // The classes of all workers are computed at most this often.
constexpr Duration speedLogInterval{1000};
constexpr int maxLoggedClassChanges = 3; // Log lines about single workers per interval.
constexpr Duration durationUpdateInterval{250};
constexpr double maxDurationRatio = 12; // Limit on the correction of deadlines by learned durations.
constexpr double negligibleRatio = 0.1; // Smaller corrections are not applied.
constexpr Duration endReportDelay{50}; // A success counts only once it has been listed and stored.
constexpr double durationMargin = 1.1; // Durations of the tasks of a step differ.
// A slow worker is preferred only with this margin, since the slowest task decides when a step ends.
constexpr double slowPreferenceMargin = 1.5;
constexpr int degradedOrder = 4; // After all other workers.
constexpr Duration maxWaitForFast{1000}; // A step waits at most this long for fast workers while slow ones are free.

Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

void CellScheduler::learnDurations()
{
    for (const DurationObservation &observation : m_workers.takeObservedDurations()) {
        StepInstance *step = m_jobs.findStep(observation.task.step);
        if (step != nullptr) {
            m_speeds.observe(step->durations, step->job->job.route, step->spec->estimate, step->spec->gang, step->gangFactor, observation);
            step->nextDurationUpdate = TimePoint();
            ++m_counters.speedObservations;
        }
    }
}

void CellScheduler::updateSpeedClasses(TimePoint now)
{
    if (now < m_nextSpeedUpdate) {
        return;
    }
    m_nextSpeedUpdate = now + speedUpdateInterval;
    const bool wasSeparated = m_speeds.isSeparated();
    if (!m_speeds.updateClasses([this](std::size_t index) { return m_workers.at(index) != nullptr; })) {
        return;
    }
    int changes = 0;
    m_degradedWorkers = 0;
    for (auto &[id, worker] : m_workers.all()) {
        const SpeedClass before = worker.speed.speedClass;
        worker.speed = m_speeds.speedOf(worker.index, worker.info.incarnation);
        m_degradedWorkers += worker.speed.speedClass == SpeedClass::Degraded ? 1 : 0;
        if (worker.speed.speedClass == before) {
            continue;
        }
        ++m_counters.speedClassChanges;
        // Changes to Degraded and back are rare; the others are summed up below.
        const bool isNotable = worker.speed.speedClass == SpeedClass::Degraded || before == SpeedClass::Degraded;
        if (isNotable && changes++ < maxLoggedClassChanges) {
            log("worker " + id.value() + " is " + toString(worker.speed.speedClass) + " now, was " + toString(before) + ": factor "
                + std::to_string(worker.speed.factor) + " after " + std::to_string(worker.speed.observations) + " observed runs");
        }
    }
    if (wasSeparated != m_speeds.isSeparated() && now >= m_nextSpeedLog) {
        m_nextSpeedLog = now + speedLogInterval;
        const SpeedClassCounts counts = speedClassCounts();
        log(m_speeds.isSeparated() ? "workers differ in speed: " + std::to_string(counts[0]) + " fast, " + std::to_string(counts[1]) + " slow (factor "
                    + std::to_string(m_speeds.classFactor(SpeedClass::Slow)) + "), " + std::to_string(counts[2]) + " degraded"
                                   : "workers do not differ in speed any more");
    }
}

SpeedClassCounts CellScheduler::speedClassCounts() const
{
    SpeedClassCounts counts{};
    for (const auto &[id, worker] : m_workers.all()) {
        counts.at(static_cast<std::size_t>(worker.speed.speedClass)) += worker.wasUsable ? 1 : 0;
    }
    return counts;
}

const WorkerSpeeds &CellScheduler::speeds() const
{
    return m_speeds;
}

void CellScheduler::updateExpectedDuration(StepInstance &step, TimePoint now) const
{
    if (step.nextDurationUpdate <= now) {
        step.nextDurationUpdate = now + durationUpdateInterval;
        step.expectedDuration = m_speeds.expectedDuration(step.durations, step.job->job.route, step.spec->estimate);
    }
}

StepTiming CellScheduler::timingOf(const StepInstance &step) const
{
    const JobEntry &entry = *step.job;
    const Duration estimate = std::max(step.spec->estimate, Duration(1));
    StepTiming timing;
    timing.duration = step.expectedDuration > Duration(0) ? step.expectedDuration : step.spec->estimate;
    // Approximates the rest of the critical path by the steps that depend on this one directly.
    for (std::size_t i = static_cast<std::size_t>(step.ref.step) + 1; i < entry.job.steps.size(); ++i) {
        const std::vector<int> &after = entry.job.steps[i].after;
        if (std::find(after.begin(), after.end(), step.ref.step) != after.end()) {
            timing.following += entry.job.steps[i].estimate;
        }
    }
    const Duration occurrence = entry.job.interval * step.ref.occurrence;
    timing.softDeadline = entry.softDeadline + occurrence;
    timing.firmDeadline = entry.firmDeadline + occurrence;
    const double ratio = static_cast<double>(timing.duration.count()) / static_cast<double>(estimate.count());
    if (std::abs(std::log(std::max(ratio, 1e-6))) >= negligibleRatio) {
        timing.following = scaled(timing.following, std::clamp(ratio, 1 / maxDurationRatio, maxDurationRatio));
    }
    // The objective is defined by the duration of the work on an average worker. The deadlines were computed from the estimates.
    const double workRatio = std::clamp(ratio * m_speeds.meanFactor(), 1 / maxDurationRatio, maxDurationRatio);
    const RouteRules *rules = rulesOf(entry.job);
    if (rules != nullptr && std::abs(std::log(workRatio)) >= negligibleRatio && !step.spec->longRunning) {
        const Duration stretched = entry.softDeadline - entry.dueAt - rules->targetLatency;
        const Duration objective = scaled(stretched, workRatio) + rules->targetLatency;
        timing.softDeadline = entry.dueAt + objective + occurrence;
        timing.firmDeadline = entry.dueAt + objective * firmDeadlineFactor + occurrence;
    }
    return timing;
}

SpeedPreference CellScheduler::speedPreference(const StepInstance &step, TimePoint now) const
{
    const StepTiming timing = timingOf(step);
    SpeedPreference preference;
    for (std::size_t i = 0; i < speedClassCount; ++i) {
        preference.duration[i] = scaled(timing.duration, m_speeds.classFactor(static_cast<SpeedClass>(i)));
        const TimePoint end = now + scaled(preference.duration[i], durationMargin) + endReportDelay + timing.following;
        preference.isInTime[i] = step.spec->longRunning || end <= timing.softDeadline;
    }
    preference.order[static_cast<std::size_t>(SpeedClass::Degraded)] = degradedOrder;
    preference.hasChoice = m_speeds.isSeparated();
    if (!preference.hasChoice) {
        return preference;
    }
    const Duration slowDuration = scaled(preference.durationOn(SpeedClass::Slow), slowPreferenceMargin);
    const bool prefersSlow = step.spec->longRunning || now + slowDuration + endReportDelay + timing.following <= timing.softDeadline;
    preference.order[static_cast<std::size_t>(SpeedClass::Fast)] = prefersSlow ? 1 : 0;
    preference.order[static_cast<std::size_t>(SpeedClass::Slow)] = prefersSlow ? 0 : 1;
    const bool hasWaited = now - step.readySince > maxWaitForFast || step.isStarving;
    preference.mayWaitForFast = !preference.isInTimeOn(SpeedClass::Slow) && preference.isInTimeOn(SpeedClass::Fast) && !hasWaited;
    return preference;
}

double CellScheduler::factorOf(const Worker &worker) const
{
    const bool isMeasured = worker.speed.observations >= 1 && (m_speeds.isSeparated() || worker.speed.speedClass == SpeedClass::Degraded);
    return isMeasured ? worker.speed.factor : m_speeds.classFactor(worker.speed.speedClass);
}

bool CellScheduler::mayUseDegraded(const StepInstance &step, const SpeedPreference &preference, const Worker &worker, TimePoint now)
{
    const bool isProbe = worker.runs.empty() && worker.nextProbe <= now;
    return isProbe || step.isStarving || preference.isInTimeOn(SpeedClass::Degraded);
}

std::array<bool, speedClassCount> CellScheduler::classesForGang(const StepInstance &step, const SpeedPreference &preference)
{
    std::array<bool, speedClassCount> classes{true, true, true};
    if (!preference.hasChoice && m_degradedWorkers == 0) {
        return classes;
    }
    std::array<int, speedClassCount> fitting{};
    const auto count = [&](const Worker &worker) {
        if (worker.wasUsable && isEligible(step, worker)) {
            fitting.at(static_cast<std::size_t>(worker.speed.speedClass)) +=
                tasksThatFit(step.spec->demand, worker.info.capacity, step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : step.spec->count);
        }
    };
    if (adviceSettings(step) == nullptr) {
        for (const auto &[id, worker] : m_workers.all()) {
            count(worker);
        }
    }
    for (const Ticket &ticket : step.advice.tickets) {
        if (const Worker *worker = m_workers.at(ticket.worker)) {
            count(*worker);
        }
    }
    const int fast = fitting[static_cast<std::size_t>(SpeedClass::Fast)];
    const bool waitsForFast = preference.mayWaitForFast && fast >= step.spec->count;
    const bool needsDegraded = fast + fitting[static_cast<std::size_t>(SpeedClass::Slow)] < step.spec->count;
    classes[static_cast<std::size_t>(SpeedClass::Slow)] = !waitsForFast;
    classes[static_cast<std::size_t>(SpeedClass::Degraded)] =
        !waitsForFast && (needsDegraded || step.isStarving || preference.isInTimeOn(SpeedClass::Degraded));
    return classes;
}

void CellScheduler::removeOtherClasses(const std::array<bool, speedClassCount> &classes, std::vector<CandidateWorker> &candidates) const
{
    const auto isOther = [&](const CandidateWorker &candidate) {
        return !classes.at(static_cast<std::size_t>(m_workers.at(candidate.worker)->speed.speedClass));
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isOther), candidates.end());
}

std::optional<std::vector<TaskAllocation>>
CellScheduler::fitGangBySpeed(const StepInstance &step, const SpeedPreference &preference, const std::vector<CandidateWorker> &candidates) const
{
    if (preference.hasChoice) {
        const bool prefersSlow = preference.orderOf(SpeedClass::Slow) < preference.orderOf(SpeedClass::Fast);
        const SpeedClass first = prefersSlow ? SpeedClass::Slow : SpeedClass::Fast;
        const SpeedClass second = prefersSlow ? SpeedClass::Fast : SpeedClass::Slow;
        for (const SpeedClass speed : {first, second}) {
            std::vector<CandidateWorker> like;
            for (const CandidateWorker &candidate : candidates) {
                if (m_workers.at(candidate.worker)->speed.speedClass == speed) {
                    like.push_back(candidate);
                }
            }
            auto fit = fitGang(like, step.spec->demand, step.spec->count);
            if (fit) {
                return fit;
            }
        }
    }
    return fitGang(candidates, step.spec->demand, step.spec->count);
}

} // namespace KingCupLadder
