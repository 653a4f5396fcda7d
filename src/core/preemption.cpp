// Choice of victims. Lost work is run time times processors; it is discounted for teams that are far above their share.
#include "preemption.h"

#include <algorithm>
#include <limits>

namespace KingCupLadder {

namespace {

/// Added to the team share, so that the discount of a team without a share stays bounded.
constexpr double shareOffset = 0.1;

struct Candidate {
    const PreemptibleTask *task = nullptr;
    double cost = 0.0;
};

struct CostedPlan {
    std::vector<const PreemptibleTask *> victims;
    double cost = std::numeric_limits<double>::infinity();
};

double costOf(const PreemptibleTask &task)
{
    const double cores = static_cast<double>(std::max<std::int64_t>(task.demand.cpu.value(), 1));
    const double ran = static_cast<double>(task.ran.count() + 1);
    return ran * cores / (shareOffset + task.teamShare);
}

bool mayBeVictim(const PreemptibleTask &task)
{
    return task.priority != Priority::Urgent && !task.startOnce && task.workClass != WorkClass::Request;
}

/// Whether the task has some of a resource of which @p missing is positive.
bool relieves(const Resources &demand, const Resources &missing)
{
    return !demand.limitedTo(missing.clampedToNonNegative()).isZero();
}

std::vector<Candidate> candidatesOf(const PreemptibleWorker &worker)
{
    std::vector<Candidate> candidates;
    for (const PreemptibleTask &task : worker.tasks) {
        if (mayBeVictim(task)) {
            candidates.push_back({&task, costOf(task)});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.cost != b.cost ? a.cost < b.cost : a.task->id < b.task->id;
    });
    return candidates;
}

/// Takes candidates in order of cost until the demand fits.
std::vector<Candidate> takeUntilItFits(const Resources &demand, Resources &free, const std::vector<Candidate> &candidates)
{
    std::vector<Candidate> taken;
    for (const Candidate &candidate : candidates) {
        if (demand.fitsIn(free)) {
            break;
        }
        if (relieves(candidate.task->demand, demand - free)) {
            free += candidate.task->demand;
            taken.push_back(candidate);
        }
    }
    return taken;
}

/// Spares those, the most costly first, without which the demand fits as well.
void spareUnneeded(const Resources &demand, Resources &free, std::vector<Candidate> &taken)
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
    std::vector<Candidate> taken = takeUntilItFits(demand, free, candidates);
    if (!demand.fitsIn(free)) {
        return {};
    }
    spareUnneeded(demand, free, taken);
    CostedPlan plan{{}, 0.0};
    for (const Candidate &candidate : taken) {
        plan.victims.push_back(candidate.task);
        plan.cost += candidate.cost;
    }
    // One larger victim may cost less than the sum of several small ones.
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

std::vector<TaskId> tasksOverLimit(const Resources &use, const Resources &allotment, std::vector<PreemptibleTask> tasks)
{
    std::sort(tasks.begin(), tasks.end(), [](const PreemptibleTask &a, const PreemptibleTask &b) {
        const bool aUrgent = a.priority == Priority::Urgent;
        const bool bUrgent = b.priority == Priority::Urgent;
        return std::tie(aUrgent, a.ran, a.id) < std::tie(bUrgent, b.ran, b.id);
    });
    std::vector<TaskId> stopped;
    Resources rest = use;
    for (const PreemptibleTask &task : tasks) {
        if (rest.fitsIn(allotment)) {
            break;
        }
        if (!task.startOnce && relieves(task.demand, rest - allotment)) {
            rest -= task.demand;
            stopped.push_back(task.id);
        }
    }
    return stopped;
}

} // namespace KingCupLadder
