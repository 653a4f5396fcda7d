// Speed factors of workers, their classes, and expected durations of tasks.
#include "workerspeeds.h"

#include <algorithm>
#include <cmath>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxEntriesPerStep = 12; // Enough for a stable median; bounds the time of an observation.
constexpr std::size_t maxRoutes = 1000; // Bounds the memory if routes are renamed again and again.
constexpr Duration minObservedDuration{1};
constexpr Duration maxObservedDuration{std::chrono::hours(30 * 24)};
constexpr double singlePeerWeight = 0.5; // Weight of a comparison with one other run, which may be the one that deviates.
constexpr double maxRouteWeight = 0.5; // Weight of a comparison with the route's usual duration, at most.
constexpr double routeWeightVariance = 0.04; // Variance of a route's durations above which a comparison with them loses weight.
constexpr double minRunsOfRoute = 20; // A route's durations are used from this number of runs on.
constexpr double routeDecay = 0.01; // Weight of a new run in the averages of its route.
constexpr double minGain = 0.35; // Weight of a new observation however many there were, so that a change of speed is noticed.
constexpr double streakGain = 0.6; // Weight of an observation that confirms a change of speed.
constexpr double deviation = 0.7; // Residual (a factor of 2) that may show a change of speed.
constexpr double maxResidual = 1.2; // Limit on the effect of one run, which may be an exception.
constexpr double maxConfirmedResidual = 4; // The same limit once another run has shown the same.
constexpr double maxWeight = 10;
constexpr double varianceDecay = 0.2;
constexpr double minCertainty = 1; // Observed runs from which on a worker counts in the classes.
constexpr std::size_t minWorkersPerGroup = 2;
constexpr std::size_t minWorkersForGroups = 6;
constexpr double minSeparation = 0.262; // log(1.3), the smallest ratio of two groups.
// Share of the variance that the groups have to explain: 0.64 for a normal distribution, and more by chance if there are few workers.
constexpr double minExplainedVariance = 0.7;
constexpr double chanceOfFewWorkers = 0.7; // Added to minExplainedVariance, divided by the square root of the number of workers.
constexpr double minDegradedCertainty = 2; // A single long task must not make a worker degraded.
constexpr double separationErrors = 2.5; // Distance of the groups in standard errors of a worker's factor; 1.6 for a normal distribution.
constexpr double outlierDistance = 1.5; // Distance from the median of factors that are left out when groups are searched.
constexpr double hysteresis = 0.1; // A worker changes its class only this far beyond the border.
constexpr double degradedDistance = 0.65; // log(1.9): distance of degraded workers from the mean of the slower group.
constexpr double degradedDistanceUniform = 1.1; // log(3): the same if there is only one group.
constexpr double negligibleDifference = 0.1; // Expected durations that differ less from the estimate are equal to it.

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

double logOf(Duration duration)
{
    return std::log(static_cast<double>(std::clamp(duration, minObservedDuration, maxObservedDuration).count()));
}

Duration durationOf(double logDuration)
{
    const double longest = static_cast<double>(maxObservedDuration.count());
    return Duration(std::llround(std::clamp(std::exp(logDuration), 1.0, longest)));
}

struct Groups {
    double border = 0;
    double fast = 0;
    double slow = 0;
    std::size_t fastCount = 0;
    double explained = 0;
};

/// Splits the ordered values at the border that explains most of their variance.
Groups splitIntoGroups(const std::vector<double> &ordered)
{
    Groups best;
    double sum = 0;
    double squares = 0;
    for (const double value : ordered) {
        sum += value;
        squares += value * value;
    }
    const auto count = static_cast<double>(ordered.size());
    const double total = squares - sum * sum / count;
    double lower = 0;
    for (std::size_t i = 1; i < ordered.size() && total > 0; ++i) {
        lower += ordered[i - 1];
        if (i < minWorkersPerGroup || ordered.size() - i < minWorkersPerGroup) {
            continue;
        }
        const auto below = static_cast<double>(i);
        const double fast = lower / below;
        const double slow = (sum - lower) / (count - below);
        const double explained = below * (count - below) / count * (slow - fast) * (slow - fast) / total;
        if (explained > best.explained) {
            best = Groups{(fast + slow) / 2, fast, slow, i, explained};
        }
    }
    return best;
}

} // namespace

const char *toString(SpeedClass speed)
{
    switch (speed) {
    case SpeedClass::Fast:
        return "fast";
    case SpeedClass::Slow:
        return "slow";
    default:
        return "degraded";
    }
}

void StepDurations::put(const Entry &entry)
{
    const auto same =
        std::find_if(m_entries.begin(), m_entries.end(), [&entry](const Entry &known) { return known.worker == entry.worker && known.task == entry.task; });
    if (same != m_entries.end()) {
        *same = entry;
    } else if (m_entries.size() < maxEntriesPerStep) {
        m_entries.push_back(entry);
    } else {
        m_entries[m_next] = entry;
        m_next = (m_next + 1) % maxEntriesPerStep;
    }
}

const std::vector<StepDurations::Entry> &StepDurations::entries() const
{
    return m_entries;
}

double WorkerSpeeds::logFactorOf(std::size_t worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? 0 : found->second.logFactor;
}

void WorkerSpeeds::observe(
    StepDurations &step, const RouteName &route, Duration estimate, bool isGang, double gangFactor, const DurationObservation &observation)
{
    ++m_observations;
    m_limitedObservations += observation.duration < minObservedDuration || observation.duration > maxObservedDuration ? 1 : 0;
    const double logDuration = logOf(observation.duration);
    const double logEstimate = logOf(estimate);
    const auto [entry, isNewRoute] = m_routes.size() < maxRoutes ? m_routes.try_emplace(route) : std::pair(m_routes.find(route), false);
    RouteState *routeState = entry == m_routes.end() ? nullptr : &entry->second;
    double factor = 0;
    if (isGang) {
        factor = std::log(std::clamp(gangFactor, minSpeedFactor, maxSpeedFactor));
    } else {
        WorkerState &state = m_workers[observation.worker];
        if (!(state.incarnation == observation.incarnation)) {
            state = WorkerState();
            state.incarnation = observation.incarnation;
            state.speedClass = m_majority;
        }
        std::vector<double> peers;
        bool hasOtherClass = false;
        for (const StepDurations::Entry &other : step.entries()) {
            if (other.worker != observation.worker) {
                peers.push_back(other.logDuration - logFactorOf(other.worker));
                const auto known = m_workers.find(other.worker);
                hasOtherClass = hasOtherClass || (known != m_workers.end() && known->second.speedClass != state.speedClass);
            }
        }
        if (!peers.empty()) {
            const double weight = observation.weight * (peers.size() == 1 ? singlePeerWeight : 1);
            updateWorker(state, observation, logDuration - medianOf(peers) - state.logFactor, weight);
        }
        // Placement puts the tasks of a step on workers of one class. Only the route's durations compare such steps with those of other classes.
        const bool needsRoute = peers.empty() || (m_isSeparated && !hasOtherClass);
        if (needsRoute && routeState != nullptr && routeState->runs >= minRunsOfRoute) {
            const double certainty = routeState->errorVariance > 0 ? routeWeightVariance / routeState->errorVariance : 1;
            const double weight = observation.weight * std::min(maxRouteWeight, maxRouteWeight * certainty);
            updateWorker(state, observation, logDuration - predict(*routeState, logEstimate) - state.logFactor, weight);
        }
        factor = state.logFactor;
    }
    if (observation.isLowerBound) {
        return;
    }
    // The entries of a gang contain no influence of its workers, unlike the others, from which the present factors are subtracted.
    step.put(StepDurations::Entry{observation.worker, observation.task.index, isGang ? logDuration - factor + logFactorOf(observation.worker) : logDuration});
    if (routeState != nullptr && observation.wholeRun > Duration(0)) {
        updateRoute(*routeState, logOf(observation.wholeRun) - factor, logEstimate);
    }
}

void WorkerSpeeds::updateWorker(WorkerState &state, const DurationObservation &observation, double residual, double weight)
{
    // Bounds are observed for long runs only, so that small residuals of theirs would shift the factor.
    if (observation.isLowerBound && residual < deviation) {
        return;
    }
    m_hasChanged = true;
    const int direction = residual > 0 ? 1 : -1;
    if (std::abs(residual) < deviation) {
        state.streak = 0;
    } else if (state.streak * direction <= 0) {
        state.streak = direction;
        state.lastDeviating = observation.task;
    } else if (!(state.lastDeviating == observation.task)) {
        state.streak += direction;
        state.lastDeviating = observation.task;
    }
    // A run may be an exception; two in a row that deviate in the same direction are a change of the worker. A degraded worker gets few runs,
    // so that the first one that is fast counts.
    const bool isRecovering = state.speedClass == SpeedClass::Degraded && state.streak < 0;
    const bool isConfirmed = std::abs(state.streak) >= 2 || isRecovering;
    const double limit = isConfirmed ? maxConfirmedResidual : maxResidual;
    state.weight = std::min(state.weight + weight, maxWeight);
    double gain = std::max(weight / (state.weight + 0.2), minGain * weight);
    gain = isConfirmed ? std::max(gain, streakGain) : gain;
    state.variance += varianceDecay * weight * (std::min(residual * residual, deviation * deviation) - state.variance);
    state.logFactor = std::clamp(state.logFactor + gain * std::clamp(residual, -limit, limit), std::log(minSpeedFactor), std::log(maxSpeedFactor));
}

void WorkerSpeeds::updateRoute(RouteState &state, double logDuration, double logEstimate)
{
    state.runs += 1;
    const double share = std::max(routeDecay, 1 / state.runs);
    const double error = logDuration - predict(state, logEstimate);
    state.errorVariance += share * (error * error - state.errorVariance);
    const double fromMeanEstimate = logEstimate - state.meanEstimate;
    const double fromMeanDuration = logDuration - state.meanDuration;
    state.meanEstimate += share * fromMeanEstimate;
    state.meanDuration += share * fromMeanDuration;
    state.estimateVariance = (1 - share) * (state.estimateVariance + share * fromMeanEstimate * fromMeanEstimate);
    state.covariance = (1 - share) * (state.covariance + share * fromMeanEstimate * fromMeanDuration);
}

double WorkerSpeeds::predict(const RouteState &state, double logEstimate)
{
    if (state.runs < 1) {
        return logEstimate;
    }
    // Equal estimates tell nothing about the slope; the mean duration counts then.
    const double slope = state.estimateVariance > 1e-6 ? std::clamp(state.covariance / state.estimateVariance, 0.0, 1.0) : 0;
    return state.meanDuration + slope * (logEstimate - state.meanEstimate);
}

void WorkerSpeeds::recentre(double median)
{
    for (auto &[index, state] : m_workers) {
        state.logFactor -= state.weight > 0 ? median : 0;
    }
    for (auto &[name, state] : m_routes) {
        state.meanDuration += median;
    }
}

bool WorkerSpeeds::updateClasses(const std::function<bool(std::size_t)> &exists)
{
    if (!std::exchange(m_hasChanged, false)) {
        return false;
    }
    std::vector<double> factors;
    double variance = 0;
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        if (!exists(entry->first)) {
            entry = m_workers.erase(entry);
            continue;
        }
        if (entry->second.weight >= minCertainty) {
            factors.push_back(entry->second.logFactor);
            variance += entry->second.variance;
        }
        ++entry;
    }
    if (factors.empty()) {
        return true;
    }
    variance /= static_cast<double>(factors.size());
    std::sort(factors.begin(), factors.end());
    const double median = factors[factors.size() / 2];
    recentre(median);
    std::vector<double> ordinary;
    for (const double factor : factors) {
        if (std::abs(factor - median) < outlierDistance) {
            ordinary.push_back(factor - median);
        }
    }
    const Groups groups = splitIntoGroups(ordinary);
    // The error of a factor that follows each observation with the smallest gain.
    const double error = std::sqrt(variance * minGain / (2 - minGain));
    const double distance = groups.slow - groups.fast;
    const double minExplained = minExplainedVariance + chanceOfFewWorkers / std::sqrt(static_cast<double>(std::max<std::size_t>(ordinary.size(), 1)));
    m_isSeparated =
        ordinary.size() >= minWorkersForGroups && groups.explained >= minExplained && distance >= minSeparation && distance >= separationErrors * error;
    m_majority = m_isSeparated && groups.fastCount * 2 < ordinary.size() ? SpeedClass::Slow : SpeedClass::Fast;
    const double degraded = m_isSeparated ? groups.slow + degradedDistance : degradedDistanceUniform;
    double sumOfFactors = 0;
    for (auto &[index, state] : m_workers) {
        const bool wasDegraded = state.speedClass == SpeedClass::Degraded;
        const double border = groups.border + (state.speedClass == SpeedClass::Slow ? -hysteresis : hysteresis);
        if (state.weight < minCertainty) {
            state.speedClass = m_majority;
        } else if (state.weight >= minDegradedCertainty && state.logFactor > degraded - (wasDegraded ? 2 * hysteresis : 0)) {
            state.speedClass = SpeedClass::Degraded;
        } else {
            state.speedClass = m_isSeparated && state.logFactor > border ? SpeedClass::Slow : SpeedClass::Fast;
        }
    }
    for (const double factor : ordinary) {
        sumOfFactors += std::exp(factor);
    }
    m_meanFactor = m_isSeparated ? sumOfFactors / static_cast<double>(ordinary.size()) : 1;
    m_classFactors[static_cast<std::size_t>(SpeedClass::Fast)] = m_isSeparated ? std::exp(groups.fast) : 1;
    m_classFactors[static_cast<std::size_t>(SpeedClass::Slow)] = m_isSeparated ? std::exp(groups.slow) : 1;
    m_classFactors[static_cast<std::size_t>(SpeedClass::Degraded)] = std::exp(degraded + hysteresis);
    return true;
}

WorkerSpeed WorkerSpeeds::speedOf(std::size_t worker, WorkerIncarnation incarnation) const
{
    WorkerSpeed speed;
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !(found->second.incarnation == incarnation)) {
        speed.speedClass = m_majority;
        return speed;
    }
    speed.factor = std::exp(found->second.logFactor);
    speed.observations = found->second.weight;
    speed.spread = std::sqrt(found->second.variance);
    speed.speedClass = found->second.speedClass;
    return speed;
}

bool WorkerSpeeds::isSeparated() const
{
    return m_isSeparated;
}

double WorkerSpeeds::classFactor(SpeedClass speed) const
{
    return m_classFactors.at(static_cast<std::size_t>(speed));
}

double WorkerSpeeds::meanFactor() const
{
    return m_meanFactor;
}

Duration WorkerSpeeds::expectedDuration(const StepDurations &step, const RouteName &route, Duration estimate) const
{
    const double logEstimate = logOf(estimate);
    const auto found = m_routes.find(route);
    const bool isRouteKnown = found != m_routes.end() && found->second.runs >= minRunsOfRoute;
    double expected = isRouteKnown ? predict(found->second, logEstimate) : logEstimate;
    if (!step.entries().empty()) {
        std::vector<double> own;
        own.reserve(step.entries().size());
        for (const StepDurations::Entry &entry : step.entries()) {
            own.push_back(entry.logDuration - logFactorOf(entry.worker));
        }
        // The estimate counts like half of a run.
        const double runs = static_cast<double>(own.size());
        expected = (medianOf(own) * runs + expected * 0.5) / (runs + 0.5);
    }
    return std::abs(expected - logEstimate) < negligibleDifference ? estimate : durationOf(expected);
}

std::uint64_t WorkerSpeeds::observations() const
{
    return m_observations;
}

std::uint64_t WorkerSpeeds::limitedObservations() const
{
    return m_limitedObservations;
}

} // namespace KingCupLadder
