#include "core/tasklifecycle.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(TaskLifecycle)
{
    TimePoint now{Duration(1000)};
};

// Guards against two concurrent attempts of a task.
TEST(TaskLifecycle, ReservesEachTaskOnce)
{
    TaskLifecycle tasks(1, false, 1);
    CHECK_TRUE(tasks.reserve(0, now).has_value());
    CHECK_FALSE(tasks.reserve(0, now).has_value());
}

// Guards against starting a task that may be running on a worker whose inventory was not read.
TEST(TaskLifecycle, HeldTasksAreNotPlaced)
{
    TaskLifecycle tasks(1, true, 1);
    CHECK_FALSE(tasks.reserve(0, now).has_value());
    LONGS_EQUAL(1, tasks.releaseHeld());
    CHECK_TRUE(tasks.reserve(0, now).has_value());
}

// Guards against using an attempt number twice, which a worker would take for a repeated start and ignore.
TEST(TaskLifecycle, NewAttemptsGetHigherNumbers)
{
    TaskLifecycle tasks(1, false, 1);
    CHECK_TRUE(tasks.adopt(0, 7, 0, now));
    CHECK_TRUE(tasks.requeue(0));
    (void)tasks.reserve(0, now);
    LONGS_EQUAL(8, tasks.at(0).attempt);
}

// Guards against adopting an attempt while another one is live.
TEST(TaskLifecycle, AdoptsNothingBesideALiveAttempt)
{
    TaskLifecycle tasks(1, false, 1);
    (void)tasks.reserve(0, now);
    CHECK_FALSE(tasks.adopt(0, 3, 1, now));
}

// Guards against running a finished task again.
TEST(TaskLifecycle, EndedTaskIsNotQueuedAgain)
{
    TaskLifecycle tasks(1, false, 1);
    (void)tasks.reserve(0, now);
    tasks.end(0, true);
    CHECK_FALSE(tasks.requeue(0));
}
