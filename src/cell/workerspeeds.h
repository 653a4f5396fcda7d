// Learns how fast the workers are and how long the tasks of steps and routes take, from the durations of runs.
//
// Runs of one step on different workers are compared with each other, so that the unknown duration of the step has no influence. Durations are
// kept as logarithms; a worker's factor is its duration divided by that on a worker of the median speed.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

/// Coarse classes of speed. Workers are all Fast unless the factors of the cell separate into two groups.
enum class SpeedClass {
    Fast,
    Slow, ///< In the slower of two groups.
    Degraded, ///< Far slower than the slower group.
};
constexpr std::size_t speedClassCount = 3;
[[nodiscard]] const char *toString(SpeedClass speed);

/// Smallest and largest factor of a worker; values outside are measurement errors.
constexpr double minSpeedFactor = 0.05;
constexpr double maxSpeedFactor = 50;

/// What is known of the speed of one incarnation of a worker.
struct WorkerSpeed {
    double factor = 1; ///< Duration of a task there divided by that on a worker of the median speed.
    double observations = 0; ///< Certainty: the sum of the weights of the observations; zero: the factor is not known.
    double spread = 0; ///< Standard deviation of the logarithms of the observed factors.
    SpeedClass speedClass = SpeedClass::Fast;
};

/// The duration of a run, or a part of it that is extrapolated to the whole run.
struct DurationObservation {
    TaskRef task;
    std::size_t worker = 0; ///< WorkerIndex of the worker.
    WorkerIncarnation incarnation;
    Duration duration{0};
    double weight = 1; ///< The observed part of the run, from 0 to 1.
    bool isLowerBound = false; ///< The run takes at least this long: it has progressed less than expected.
    Duration wholeRun{0}; ///< Duration of the complete run, once it has succeeded; zero: not known.
};

/// Latest observations of the runs of one step.
class StepDurations
{
public:
    struct Entry {
        std::size_t worker;
        int task;
        double logDuration;
    };

    /// Adds an entry, or replaces the one of the same task on the same worker.
    void put(const Entry &entry);
    [[nodiscard]] const std::vector<Entry> &entries() const;

private:
    std::vector<Entry> m_entries;
    std::size_t m_next = 0; ///< The oldest entry, which is replaced next.
};

/// The speed factors of the workers and the durations of routes.
class WorkerSpeeds
{
public:
    /// Applies an observation of a run of a step. @p isGang: the members of a gang wait for each other, so its runs tell nothing about single
    /// workers; @p gangFactor is the factor of its slowest member.
    void observe(StepDurations &step, const RouteName &route, Duration estimate, bool isGang, double gangFactor, const DurationObservation &observation);
    /// Recomputes the classes from the present factors. Forgets workers for which @p exists returns false. Returns false if nothing was
    /// observed since the last call.
    bool updateClasses(const std::function<bool(std::size_t)> &exists);
    /// Returns the speed of the worker; unknown unless this incarnation was observed.
    [[nodiscard]] WorkerSpeed speedOf(std::size_t worker, WorkerIncarnation incarnation) const;
    /// Whether the factors of the workers separate into a fast and a slow group.
    [[nodiscard]] bool isSeparated() const;
    /// Mean factor of the workers of a class; 1 for Fast and Slow while the groups are not separated.
    [[nodiscard]] double classFactor(SpeedClass speed) const;
    /// Mean factor of the workers that are not degraded; 1 while the groups are not separated.
    [[nodiscard]] double meanFactor() const;
    /// Expected duration of the step's tasks on a worker of factor 1. Equal to @p estimate unless runs have shown a different duration.
    [[nodiscard]] Duration expectedDuration(const StepDurations &step, const RouteName &route, Duration estimate) const;
    /// Number of observations since the creation, and of those that were outside of the limits.
    [[nodiscard]] std::uint64_t observations() const;
    [[nodiscard]] std::uint64_t limitedObservations() const;

private:
    struct WorkerState {
        WorkerIncarnation incarnation;
        double logFactor = 0;
        double weight = 0;
        double variance = 0;
        int streak = 0; ///< Consecutive runs that deviate strongly in the same direction; negative: faster than the factor.
        TaskRef lastDeviating; ///< The last run that counted in the streak.
        SpeedClass speedClass = SpeedClass::Fast;
    };
    /// Linear regression of the logarithm of the duration on that of the estimate, with exponentially decaying weights.
    struct RouteState {
        double runs = 0;
        double meanDuration = 0;
        double meanEstimate = 0;
        double estimateVariance = 0;
        double covariance = 0;
        double errorVariance = 0;
    };

    [[nodiscard]] double logFactorOf(std::size_t worker) const;
    void updateWorker(WorkerState &state, const DurationObservation &observation, double residual, double weight);
    void updateRoute(RouteState &state, double logDuration, double logEstimate);
    /// Expected logarithm of the duration of a task of the route.
    [[nodiscard]] static double predict(const RouteState &state, double logEstimate);
    /// Moves all factors such that their median is 1.
    void recentre(double median);

    std::unordered_map<std::size_t, WorkerState> m_workers;
    std::map<RouteName, RouteState> m_routes;
    std::array<double, speedClassCount> m_classFactors{1, 1, 1};
    double m_meanFactor = 1;
    bool m_isSeparated = false;
    SpeedClass m_majority = SpeedClass::Fast; ///< Class of the workers whose speed is not known.
    bool m_hasChanged = false;
    std::uint64_t m_observations = 0;
    std::uint64_t m_limitedObservations = 0;
};

} // namespace KingCupLadder
