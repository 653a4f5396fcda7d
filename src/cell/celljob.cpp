// Validation of jobs and calculations over their steps.
#include "celljob.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration maxInterval{std::chrono::hours(30 * 365 * 24)};
constexpr std::int64_t maxUnixMs = 100000000000000; // In the year 5138.

Error stepError(std::size_t step, const std::string &what, const std::string &remedy)
{
    return {ErrorKind::InvalidInput, "step " + std::to_string(step) + " " + what, remedy};
}

} // namespace

void limitTimes(CellJob &job)
{
    for (StepSpec &step : job.steps) {
        step.estimate = std::clamp(step.estimate, Duration(1), maxEstimate);
        step.serviceTarget = std::clamp(step.serviceTarget, Duration(0), maxEstimate);
    }
    job.interval = std::clamp(job.interval, Duration(0), maxInterval);
    job.firstRunUnixMs = std::clamp<std::int64_t>(job.firstRunUnixMs, 0, maxUnixMs);
    job.submittedUnixMs = std::clamp<std::int64_t>(job.submittedUnixMs, 0, maxUnixMs);
}

Result<bool> checkJob(const CellJob &job)
{
    if (job.id.isEmpty()) {
        return Error{ErrorKind::InvalidInput, "the job has no id", "send the id as the last part of the path"};
    }
    if (job.steps.empty() || job.steps.size() > maxStepsPerJob) {
        return Error{ErrorKind::InvalidInput, "the job has no steps or too many", "send 1 to " + std::to_string(maxStepsPerJob) + " steps"};
    }
    if (job.occurrences > maxOccurrencesPerJob) {
        return Error{ErrorKind::InvalidInput, "the job has too many occurrences", "send at most " + std::to_string(maxOccurrencesPerJob)};
    }
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const StepSpec &step = job.steps[i];
        if (step.after.size() > maxStepsPerJob) {
            return stepError(i, "lists too many steps", "list each earlier step once");
        }
        if (step.count < 1 || step.count > maxTasksPerStep) {
            return stepError(i, "has no tasks or too many", "send a count of 1 to " + std::to_string(maxTasksPerStep));
        }
        const bool ordered = std::all_of(step.after.begin(), step.after.end(), [i](int before) { return before >= 0 && before < static_cast<int>(i); });
        if (!ordered) {
            return stepError(i, "depends on a step that does not precede it", "list only earlier steps, counted from 0");
        }
        if (step.demand.cpu.value() < 0 || step.demand.memory.value() < 0 || step.demand.accelerators.value() < 0) {
            return stepError(i, "has a negative demand", "send amounts of zero or more");
        }
        if (std::max({step.demand.cpu.value(), step.demand.memory.value(), step.demand.accelerators.value()}) > maxResourceAmount) {
            return stepError(i, "demands more than any worker has", "send amounts of up to " + std::to_string(maxResourceAmount));
        }
    }
    return true;
}

Duration criticalPathLength(const std::vector<StepSpec> &steps)
{
    std::vector<Duration> ends;
    Duration longest{0};
    for (const StepSpec &step : steps) {
        Duration begin{0};
        for (const int before : step.after) {
            begin = std::max(begin, ends.at(static_cast<std::size_t>(before)));
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Duration objectiveOf(const std::vector<StepSpec> &steps, const RouteRules &rules)
{
    const auto criticalPath = static_cast<double>(criticalPathLength(steps).count());
    return Duration(static_cast<std::int64_t>(criticalPath * rules.stretch)) + rules.targetLatency;
}

double totalWork(const std::vector<StepSpec> &steps)
{
    double sum = 0;
    for (const StepSpec &step : steps) {
        sum += step.count * workOfOneTask(step);
    }
    return sum;
}

double workOfOneTask(const StepSpec &step)
{
    return static_cast<double>(step.demand.cpu.value()) * static_cast<double>(step.estimate.count());
}

const char *toString(CellJobState state)
{
    switch (state) {
    case CellJobState::Pending:
        return "pending";
    case CellJobState::Active:
        return "active";
    case CellJobState::Succeeded:
        return "succeeded";
    case CellJobState::Failed:
        return "failed";
    case CellJobState::Cancelled:
        return "cancelled";
    case CellJobState::Unknown:
        break;
    }
    return "unknown";
}

bool isFinal(CellJobState state)
{
    return state == CellJobState::Succeeded || state == CellJobState::Failed || state == CellJobState::Cancelled;
}

} // namespace KingCupLadder
