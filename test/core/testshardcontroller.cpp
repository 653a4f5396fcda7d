#include "fakeshard.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

JobRecord queuedRecord(const JobSpec &spec, JobState state = JobState::Queued)
{
    return JobRecord{spec, ShardId("pool/domain/0"), state, {}, Epoch(1)};
}

RunningTask runningTask(const char *job, std::uint32_t attempt = 1, const Resources &demand = cores(1))
{
    return RunningTask{TaskId{JobId(job), 0, attempt}, TeamId("a"), {}, demand, {}, Duration(0)};
}

/// Makes the worker report the task as running.
void addRunningTask(FakeWorker &worker, const RunningTask &task)
{
    worker.running[task.id] = task;
    worker.everStarted.insert(task.id);
}

} // namespace

TEST_GROUP(ShardController){};

// Guards against work that is admitted and never dispatched.
TEST(ShardController, RunsAJobToItsSuccess)
{
    FakeShard shard;
    shard.createReady();
    shard.enqueue(FakeShard::job("j", 2));
    shard.run(50);
    LONGS_EQUAL(2, shard.runningTasks());
    shard.endAll(0, TaskOutcome::Succeeded);
    shard.run(1000);
    STRCMP_EQUAL("succeeded", shard.statesOf("j").c_str());
}

// Guards against a new owner overcommitting a worker by ignoring tasks that the previous owner started.
TEST(ShardController, DoesNotCommitBeforeTheInventory)
{
    FakeShard shard(1, 2);
    addRunningTask(shard.worker(), runningTask("old", 1, cores(4)));
    shard.create();
    shard.enqueue(FakeShard::job("j", 1, cores(2)));
    shard.run(300);
    CHECK_FALSE(shard.overCapacity);
}

// Shows that the worker is overcommitted if inventoryBeforeCommit is disabled (and countUnreadWorkers as well).
TEST(ShardController, OvercommitsWithoutInventoryBeforeCommit)
{
    FakeShard shard(1, 2);
    shard.settings.safetyChecks.inventoryBeforeCommit = false;
    shard.settings.safetyChecks.countUnreadWorkers = false;
    addRunningTask(shard.worker(), runningTask("old", 1, cores(4)));
    shard.create();
    shard.enqueue(FakeShard::job("j", 1, cores(2)));
    shard.run(300);
    CHECK_TRUE(shard.overCapacity);
}

// Guards against starting a task a second time while the first start, whose reply was lost, is running.
TEST(ShardController, DoesNotRestartAfterALostReply)
{
    FakeShard shard(2);
    shard.createReady();
    shard.setDelivery(0, Delivery::LoseReply);
    shard.setDelivery(1, Delivery::LoseReply);
    shard.enqueue(FakeShard::job("j"));
    shard.run(3000);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Shows that the task runs twice if proveStoppedBeforeRestart is disabled.
TEST(ShardController, RunsTwiceWithoutProveStoppedBeforeRestart)
{
    FakeShard shard(2);
    shard.settings.safetyChecks.proveStoppedBeforeRestart = false;
    shard.createReady();
    shard.setDelivery(0, Delivery::LoseReply);
    shard.setDelivery(1, Delivery::LoseReply);
    shard.enqueue(FakeShard::job("j"));
    shard.run(3000);
    CHECK_TRUE(shard.doubleRun);
}

namespace {

/// A start is delayed, an inventory does not list the task, the task starts elsewhere, then the delayed start arrives.
bool delayedStartRunsTwice(bool sequenceOrder)
{
    FakeShard shard(2);
    shard.settings.safetyChecks.sequenceOrder = sequenceOrder;
    shard.createReady();
    shard.setDelivery(0, Delivery::Delay);
    shard.setDelivery(1, Delivery::Delay);
    shard.enqueue(FakeShard::job("j"));
    shard.run(20);
    shard.deliveries.clear();
    shard.run(3000);
    shard.deliverDelayed();
    return shard.doubleRun;
}

} // namespace

// Guards against a delayed batch that takes effect after an inventory has shown that its tasks do not run.
TEST(ShardController, DelayedStartHasNoEffectAfterTheInventory)
{
    CHECK_FALSE(delayedStartRunsTwice(true));
}

// Shows that the delayed start takes effect if sequenceOrder is disabled, since all batches then have the same sequence.
TEST(ShardController, DelayedStartRunsTwiceWithoutSequenceOrder)
{
    CHECK_TRUE(delayedStartRunsTwice(false));
}

// Guards against losing a task whose start never arrived.
TEST(ShardController, StartsAgainOnceAnInventoryLacksTheTask)
{
    FakeShard shard;
    shard.createReady();
    shard.setDelivery(0, Delivery::Drop);
    shard.enqueue(FakeShard::job("j"));
    shard.run(20);
    shard.deliveries.clear();
    shard.run(3000);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against a second copy of a recovered task that is running on a worker whose inventory can't be read yet.
TEST(ShardController, HoldsRecoveredTasksUntilAllWorkersAreRead)
{
    FakeShard shard(2, 2);
    addRunningTask(shard.worker(1), runningTask("j"));
    shard.setDelivery(1, Delivery::Drop);
    shard.create();
    shard.controller->recover({queuedRecord(FakeShard::job("j"))}, shard.now);
    shard.run(3000);
    LONGS_EQUAL(0, static_cast<long>(shard.worker(0).running.size()));
}

// Guards against holding recovered work forever.
TEST(ShardController, StartsRecoveredTasksThatNoWorkerHas)
{
    FakeShard shard(2, 2);
    shard.create();
    shard.controller->recover({queuedRecord(FakeShard::job("j"))}, shard.now);
    shard.run(1000);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against delaying new work until every worker can be read.
TEST(ShardController, StartsNewJobsWhileAWorkerIsUnread)
{
    FakeShard shard(2, 2);
    shard.setDelivery(1, Delivery::Drop);
    shard.createReady();
    shard.enqueue(FakeShard::job("new"));
    shard.run(500);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against stopping or restarting a recovered task that is running.
TEST(ShardController, AdoptsARunningTaskReadBeforeRecovery)
{
    FakeShard shard(1, 2);
    shard.completesQueueScans = false;
    addRunningTask(shard.worker(), runningTask("j"));
    shard.create();
    shard.run(500);
    shard.controller->recover({queuedRecord(FakeShard::job("j"))}, shard.now);
    shard.run(500);
    LONGS_EQUAL(1, static_cast<long>(shard.worker().running.count(TaskId{JobId("j"), 0, 1})));
}

// Guards against tasks of removed jobs that occupy their resources forever.
TEST(ShardController, StopsTasksOfUnknownJobs)
{
    FakeShard shard(1, 2);
    addRunningTask(shard.worker(), runningTask("unknown"));
    shard.createReady();
    shard.run(500);
    LONGS_EQUAL(0, shard.runningTasks());
}

// Guards against losing a task together with its VM.
TEST(ShardController, RestartsATaskWhoseVmIsGone)
{
    FakeShard shard(1);
    shard.createReady();
    shard.enqueue(FakeShard::job("j"));
    shard.run(50);
    // The platform lists an empty VM w1 instead of w0.
    FakeShard other(2);
    shard.workers = {{WorkerId("w1"), other.worker(1)}};
    shard.listVms();
    shard.run(500);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against restarting leased work before its lease has expired on a VM that is no longer listed. The attempt ends
// after taskTerm plus margin, 11 s.
TEST(ShardController, WaitsForTheLeaseOfAGoneVm)
{
    FakeShard shard(2);
    shard.createReady();
    JobSpec spec = FakeShard::job("j");
    spec.partition = PartitionPolicy::Move;
    shard.enqueue(spec);
    shard.run(50);
    const int used = shard.worker(0).running.empty() ? 1 : 0;
    shard.controller->setWorkers({shard.worker(1 - used).vm}, shard.now);
    shard.run(9000);
    LONGS_EQUAL(0, static_cast<long>(shard.worker(1 - used).running.size()));
    shard.run(3000);
    LONGS_EQUAL(1, static_cast<long>(shard.worker(1 - used).running.size()));
}

// Guards against "move" tasks that keep running after the ownership of their shard has ended.
TEST(ShardController, RenewsNoLeaseWhileUnconfirmed)
{
    FakeShard shard;
    shard.createReady();
    shard.controller->setLeaseConfirmed(false, shard.now);
    shard.run(1000);
    LONGS_EQUAL(0, shard.worker().lastRenewal.count());
}

// Guards against commands to workers during a hand-over, which the inventories that the next owner reads could miss.
TEST(ShardController, EmitsNothingWhileSuspended)
{
    FakeShard shard;
    shard.createReady();
    shard.enqueue(FakeShard::job("j"));
    shard.controller->setSuspended(true);
    const std::size_t before = shard.sent.size();
    shard.run(3000);
    LONGS_EQUAL(static_cast<long>(before), static_cast<long>(shard.sent.size()));
    shard.controller->setSuspended(false);
    shard.run(100);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against starts on a worker without epochs while the previous owner's starts may still arrive, which is for 10 s: its lease
// term with margin (7 s) plus maxStartAge (3 s).
TEST(ShardController, WaitsForStartsOfThePreviousOwnerWithoutEpochs)
{
    FakeShard shard;
    shard.worker().supportsEpochs = false;
    shard.createReady();
    shard.enqueue(FakeShard::job("j"));
    shard.run(9500);
    LONGS_EQUAL(0, shard.runningTasks());
    shard.run(1500);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against dispatching a start-once task before its Started state is durable.
TEST(ShardController, DispatchesAStartOnceTaskAfterItsStartIsPersisted)
{
    FakeShard shard;
    shard.createReady();
    shard.storeAvailable = false;
    JobSpec spec = FakeShard::job("j");
    spec.startOnce = true;
    shard.enqueue(spec);
    shard.run(500);
    LONGS_EQUAL(0, shard.runningTasks());
    shard.controller->jobStatePersisted(JobId("j"), JobState::Started, shard.now);
    shard.run(100);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against a repeated side effect, such as a second payment: the start was recorded and no worker has the task.
TEST(ShardController, ParksALostStartOnceTask)
{
    FakeShard shard(1, 2);
    JobSpec spec = FakeShard::job("j");
    spec.startOnce = true;
    shard.create();
    shard.controller->recover({queuedRecord(spec, JobState::Started)}, shard.now);
    shard.run(500);
    STRCMP_EQUAL("parked", shard.statesOf("j").c_str());
}

// Guards against a worker deleting its report of a success before the final state is durable, so that a new owner can't learn of it.
TEST(ShardController, AcknowledgesSuccessOnlyAfterItIsPersisted)
{
    FakeShard shard;
    shard.createReady();
    shard.storeAvailable = false;
    shard.enqueue(FakeShard::job("j"));
    shard.run(50);
    shard.endAll(0, TaskOutcome::Succeeded);
    shard.run(2000);
    LONGS_EQUAL(1, static_cast<long>(shard.worker().ended.size()));
    shard.controller->jobStatePersisted(JobId("j"), JobState::Succeeded, shard.now);
    shard.run(1000);
    LONGS_EQUAL(0, static_cast<long>(shard.worker().ended.size()));
}

// Guards against running a finished job again when its admission is forwarded a second time.
TEST(ShardController, IgnoresAFinishedJob)
{
    FakeShard shard;
    shard.createReady();
    shard.enqueue(FakeShard::job("j"));
    shard.run(50);
    shard.endAll(0, TaskOutcome::Succeeded);
    shard.run(1000);
    shard.enqueue(FakeShard::job("j"));
    shard.run(500);
    LONGS_EQUAL(0, shard.runningTasks());
}

// Guards against a service that stays down after it ended.
TEST(ShardController, RestartsAService)
{
    FakeShard shard;
    shard.createReady();
    JobSpec spec = FakeShard::job("s");
    spec.workClass = WorkClass::Service;
    shard.enqueue(spec);
    shard.run(50);
    shard.endAll(0, TaskOutcome::Succeeded);
    shard.run(1000);
    LONGS_EQUAL(1, shard.runningTasks());
}

// Guards against cancelled tasks that go on running.
TEST(ShardController, CancelStopsRunningTasks)
{
    FakeShard shard;
    shard.createReady();
    shard.enqueue(FakeShard::job("j", 6));
    shard.run(50);
    shard.controller->cancel(JobId("j"), shard.now);
    shard.run(1000);
    LONGS_EQUAL(0, shard.runningTasks());
    LONGS_EQUAL(0, static_cast<long>(shard.controller->queuedTasks()));
}

// Guards against retrying a job forever that fails on every worker.
TEST(ShardController, ParksAJobThatFailedOnThreeWorkers)
{
    FakeShard shard(4);
    shard.createReady();
    shard.enqueue(FakeShard::job("bad"));
    for (int i = 0; i < 8; ++i) {
        shard.run(600);
        for (int number = 0; number < 4; ++number) {
            shard.endAll(number, TaskOutcome::Failed);
        }
    }
    STRCMP_EQUAL("parked", shard.statesOf("bad").c_str());
}

// Guards against parking good jobs because of a worker on which every task fails.
TEST(ShardController, QuarantinesAWorkerThatFailsEverything)
{
    FakeShard shard(2);
    shard.worker(0).failsAll = true;
    shard.createReady();
    for (const char *id : {"j1", "j2", "j3", "j4"}) {
        shard.enqueue(FakeShard::job(id));
        shard.run(1000);
    }
    LONGS_EQUAL(4, static_cast<long>(shard.worker(1).running.size()));
}

// Guards against queueing a job forever that fits into no VM.
TEST(ShardController, RefusesAJobThatNeverFits)
{
    FakeShard shard;
    shard.createReady();
    const Result<bool> result = shard.controller->enqueue(FakeShard::job("big", 1, cores(5)), shard.now);
    CHECK_TRUE(result.reason().kind == ErrorKind::NeverFits);
}

// Guards against refusing a job before the capacity of the workers is known.
TEST(ShardController, ParksAJobThatNeverFitsOnceWorkersAreRead)
{
    FakeShard shard;
    shard.create();
    CHECK_TRUE(shard.controller->enqueue(FakeShard::job("big", 1, cores(5)), shard.now).hasValue());
    shard.run(2000);
    STRCMP_EQUAL("parked", shard.statesOf("big").c_str());
}
