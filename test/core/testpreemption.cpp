#include "core/preemption.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

Resources cpu(std::int64_t milliCores)
{
    return Resources{MilliCores(milliCores), MebiBytes(0), Accelerators(0), Slots(0)};
}

PreemptibleTask task(const std::string &job, std::int64_t milliCores, std::int64_t elapsedMs)
{
    PreemptibleTask result;
    result.id = TaskId{JobId(job), 0, 1};
    result.demand = cpu(milliCores);
    result.elapsed = Duration(elapsedMs);
    return result;
}

/// The jobs of the victims, separated by spaces, or "none" if there is no plan.
std::string victims(const std::vector<PreemptibleTask> &tasks, std::int64_t demand)
{
    const auto plan = planPreemption(cpu(demand), {{WorkerId("w"), cpu(0), tasks}});
    std::string text = plan ? "" : "none";
    for (std::size_t i = 0; plan && i < plan->victims.size(); ++i) {
        text += (i > 0 ? " " : "") + plan->victims[i].job.value();
    }
    return text;
}

} // namespace

TEST_GROUP(Preemption){};

// Guards against preempting a long-running task when a younger one is enough.
TEST(Preemption, TakesTheTaskWithTheLeastLostWork)
{
    STRCMP_EQUAL("young", victims({task("old", 1000, 90000), task("young", 1000, 100)}, 1000).c_str());
}

// Guards against preempting tasks that are not needed: "small" costs least and is selected first, but "large" alone is enough.
TEST(Preemption, SparesTasksThatAreNotNeeded)
{
    STRCMP_EQUAL("large", victims({task("small", 500, 1), task("large", 2000, 100)}, 2000).c_str());
}

// Guards against preempting urgent work for other urgent work.
TEST(Preemption, UrgentTasksAreNeverVictims)
{
    PreemptibleTask urgent = task("urgent", 1000, 1);
    urgent.priority = Priority::Urgent;
    STRCMP_EQUAL("none", victims({urgent}, 1000).c_str());
}

// Guards against preempting work that must not be started a second time.
TEST(Preemption, StartOnceTasksAreNeverVictims)
{
    PreemptibleTask once = task("once", 1000, 1);
    once.startOnce = true;
    STRCMP_EQUAL("none", victims({once}, 1000).c_str());
}

// Guards against preempting a team below its share before a team above its share.
TEST(Preemption, TeamAboveItsShareIsPreemptedFirst)
{
    PreemptibleTask above = task("above", 1000, 1000);
    above.teamShare = 0.8;
    STRCMP_EQUAL("above", victims({task("below", 1000, 1000), above}, 1000).c_str());
}

// Guards against stopping more tasks than a lowered limit requires, or the oldest ones first.
TEST(Preemption, LoweredLimitStopsTheYoungestUntilItFits)
{
    const auto stopped = tasksOverLimit(cpu(3000), cpu(2000), {task("old", 1000, 900), task("young", 1000, 10), task("middle", 1000, 500)});
    LONGS_EQUAL(1, stopped.size());
    STRCMP_EQUAL("young", stopped.front().job.value().c_str());
}
