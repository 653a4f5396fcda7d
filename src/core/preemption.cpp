// Selection of victims. The cost of a victim is its lost work (run time times CPU), discounted by the share of its team.
#include "preemption.h"

#include <algorithm>
#include <limits>

namespace KingCupLadder {

namespace {

/// Added to the team share, so that the cost stays bounded for a team whose share is zero.
constexpr double shareOffset = 0.1;

struct Candidate {
    const PreemptibleTask *task = nullptr;
    double cost = 0.0;
};

struct CostedPlan {
    std::vector<const PreemptibleTask *> victims;
    double cost = std::numeric_limits<double>::infinity();
};

/// Lost CPU time divided by the share of the team. The minimum of 1 for both factors gives every victim a positive cost.
double costOf(const PreemptibleTask &task)
{
    const double milliCores = static_cast<double>(std::max<std::int64_t>(task.demand.cpu.value(), 1));
    const double elapsed = static_cast<double>(task.elapsed.count() + 1);
    return elapsed * milliCores / (shareOffset + task.teamShare);
}

bool isPreemptible(const PreemptibleTask &task)
{
    return task.priority != Priority::Urgent && !task.startOnce && task.workClass != WorkClass::Request;
}

/// Whether the task uses any resource of which @p missing is positive.
bool freesMissingResources(const Resources &demand, const Resources &missing)
{
    return !demand.limitedTo(missing.clampedToNonNegative()).isZero();
}

std::vector<Candidate> candidatesOf(const PreemptibleWorker &worker)
{
    std::vector<Candidate> candidates;
    for (const PreemptibleTask &task : worker.tasks) {
        if (isPreemptible(task)) {
            candidates.push_back({&task, costOf(task)});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.cost != b.cost ? a.cost < b.cost : a.task->id < b.task->id;
    });
    return candidates;
}

/// Selects candidates in order of cost until the demand fits.
std::vector<Candidate> selectUntilItFits(const Resources &demand, Resources &free, const std::vector<Candidate> &candidates)
{
    std::vector<Candidate> taken;
    for (const Candidate &candidate : candidates) {
        if (demand.fitsIn(free)) {
            break;
        }
        if (freesMissingResources(candidate.task->demand, demand - free)) {
            free += candidate.task->demand;
            taken.push_back(candidate);
        }
    }
    return taken;
}

/// Removes victims without which the demand still fits, the most costly first.
void removeUnneededVictims(const Resources &demand, Resources &free, std::vector<Candidate> &taken)
{
    for (std::size_t i = taken.size(); i-- > 0;) {
        const Resources without = free - taken[i].task->demand;
        if (demand.fitsIn(without)) {
            free = without;
            taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
}

CostedPlan cheapestOn(const Resources &demand, const PreemptibleWorker &worker)
{
    const std::vector<Candidate> candidates = candidatesOf(worker);
    Resources free = worker.free;
    std::vector<Candidate> taken = selectUntilItFits(demand, free, candidates);
    if (!demand.fitsIn(free)) {
        return {};
    }
    removeUnneededVictims(demand, free, taken);
    CostedPlan plan{{}, 0.0};
    for (const Candidate &candidate : taken) {
        plan.victims.push_back(candidate.task);
        plan.cost += candidate.cost;
    }
    // A single larger victim may cost less than several small ones together.
    for (const Candidate &candidate : candidates) {
        if (candidate.cost < plan.cost && demand.fitsIn(worker.free + candidate.task->demand)) {
            return {{candidate.task}, candidate.cost};
        }
    }
    return plan;
}

} // namespace

std::optional<PreemptionPlan> planPreemption(const Resources &demand, const std::vector<PreemptibleWorker> &workers)
{
    CostedPlan best;
    const PreemptibleWorker *chosen = nullptr;
    for (const PreemptibleWorker &worker : workers) {
        CostedPlan plan = cheapestOn(demand, worker);
        if (plan.cost < best.cost) {
            best = std::move(plan);
            chosen = &worker;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    PreemptionPlan result{chosen->worker, {}};
    for (const PreemptibleTask *victim : best.victims) {
        result.victims.push_back(victim->id);
    }
    return result;
}

std::vector<TaskId> tasksOverLimit(const Resources &usage, const Resources &allotment, std::vector<PreemptibleTask> tasks)
{
    std::sort(tasks.begin(), tasks.end(), [](const PreemptibleTask &a, const PreemptibleTask &b) {
        const bool aUrgent = a.priority == Priority::Urgent;
        const bool bUrgent = b.priority == Priority::Urgent;
        return std::tie(aUrgent, a.elapsed, a.id) < std::tie(bUrgent, b.elapsed, b.id);
    });
    std::vector<TaskId> selected;
    Resources remainingUse = usage;
    for (const PreemptibleTask &task : tasks) {
        if (remainingUse.fitsIn(allotment)) {
            break;
        }
        if (!task.startOnce && freesMissingResources(task.demand, remainingUse - allotment)) {
            remainingUse -= task.demand;
            selected.push_back(task.id);
        }
    }
    return selected;
}

} // namespace KingCupLadder
