// Choice of the runs that are stopped for a waiting step.
#include "preemptionplan.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace KingCupLadder {

namespace {

/// What it costs to make room for one more task on a worker; the lowest cost is the best.
struct Cost {
    int lateJobs = 0;
    int withoutCheckpoint = 0;
    double workLost = 0;
    std::int64_t milliCores = 0;

    void add(const PreemptibleRun &run)
    {
        lateJobs += run.becomesLate ? 1 : 0;
        withoutCheckpoint += run.savesCheckpoint ? 0 : 1;
        workLost += run.workLost;
        milliCores += run.demand.cpu.value();
    }

    friend bool operator<(const Cost &a, const Cost &b)
    {
        return std::tie(a.lateJobs, a.withoutCheckpoint, a.workLost, a.milliCores) < std::tie(b.lateJobs, b.withoutCheckpoint, b.workLost, b.milliCores);
    }
};

/// The runs that make room for one more task on a worker.
struct Option {
    Cost cost;
    std::vector<std::size_t> runs; ///< Indexes in WorkerState::runs.
};

/// A worker during the planning.
struct WorkerState {
    std::size_t worker = 0;
    Resources free;
    int maxTasks = 0;
    std::vector<const PreemptibleRun *> runs; ///< Those that may be stopped, cheapest first.
    int tasks = 0; ///< Tasks of the step that are placed here.
};

bool isCheaper(const PreemptibleRun *a, const PreemptibleRun *b)
{
    return std::tie(a->becomesLate, b->savesCheckpoint, a->workLost, a->id) < std::tie(b->becomesLate, a->savesCheckpoint, b->workLost, b->id);
}

/// Returns the cheapest runs whose stop makes room for one more task; none if the step fits already. Empty if it does not fit even so.
std::optional<Option> optionFor(const WorkerState &state, const Resources &demand)
{
    if (state.maxTasks < 1) {
        return std::nullopt;
    }
    Option option;
    Resources free = state.free;
    for (std::size_t i = 0; i < state.runs.size() && !demand.fitsIn(free); ++i) {
        free += state.runs[i]->demand;
        option.runs.push_back(i);
    }
    if (!demand.fitsIn(free)) {
        return std::nullopt;
    }
    // A run that was added early may not be needed any more; the most expensive ones are dropped first.
    for (std::size_t i = option.runs.size(); i-- > 0;) {
        const Resources without = free - state.runs[option.runs[i]]->demand;
        if (demand.fitsIn(without)) {
            free = without;
            option.runs.erase(option.runs.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    for (const std::size_t run : option.runs) {
        option.cost.add(*state.runs[run]);
    }
    return option;
}

} // namespace

std::optional<PreemptionPlan> planPreemption(const PreemptionDemand &step, const std::vector<PreemptionCandidate> &candidates, const PreemptionBounds &bounds)
{
    std::vector<WorkerState> states;
    states.reserve(candidates.size());
    for (const PreemptionCandidate &candidate : candidates) {
        WorkerState state{candidate.worker.worker, candidate.worker.free, candidate.worker.maxTasks, {}, 0};
        for (const PreemptibleRun &run : candidate.runs) {
            if (run.priority > step.priority && run.untilEnd > bounds.stopTime) {
                state.runs.push_back(&run);
            }
        }
        std::sort(state.runs.begin(), state.runs.end(), isCheaper);
        states.push_back(std::move(state));
    }
    const auto isWorse = [](const std::pair<Option, std::size_t> &a, const std::pair<Option, std::size_t> &b) {
        return std::tie(b.first.cost, b.second) < std::tie(a.first.cost, a.second);
    };
    std::priority_queue<std::pair<Option, std::size_t>, std::vector<std::pair<Option, std::size_t>>, decltype(isWorse)> options(isWorse);
    const auto addOption = [&](std::size_t state) {
        if (const auto option = optionFor(states[state], step.demand)) {
            options.emplace(*option, state);
        }
    };
    for (std::size_t i = 0; i < states.size(); ++i) {
        addOption(i);
    }
    const double gainOfTask = static_cast<double>(step.demand.cpu.value()) * static_cast<double>(step.estimate.count());
    PreemptionPlan plan;
    int placed = 0;
    while (placed < step.tasks && !options.empty()) {
        const auto [option, index] = options.top();
        options.pop();
        const bool isWorthwhile = step.isGang || option.cost.workLost < gainOfTask;
        if (!isWorthwhile || plan.milliCores + option.cost.milliCores > bounds.milliCores) {
            continue;
        }
        WorkerState &state = states[index];
        for (auto run = option.runs.rbegin(); run != option.runs.rend(); ++run) {
            const auto chosen = state.runs.begin() + static_cast<std::ptrdiff_t>(*run);
            plan.stops.push_back(PreemptionChoice{state.worker, (*chosen)->id});
            state.free += (*chosen)->demand;
            state.runs.erase(chosen);
        }
        state.free -= step.demand;
        --state.maxTasks;
        ++state.tasks;
        ++placed;
        plan.milliCores += option.cost.milliCores;
        plan.workLost += option.cost.workLost;
        addOption(index);
    }
    const bool isComplete = step.isGang ? placed == step.tasks && plan.workLost < gainOfTask * step.tasks : placed > 0;
    if (!isComplete || plan.stops.empty()) {
        return std::nullopt;
    }
    for (const WorkerState &state : states) {
        if (state.tasks > 0) {
            plan.allocations.push_back(TaskAllocation{state.worker, state.tasks});
        }
    }
    return plan;
}

} // namespace KingCupLadder
