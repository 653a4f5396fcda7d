// Scenario: a worker starts while the time of day of its machine is ahead. The time is set right, and the worker crashes and starts again.
#include "scenarios.h"

namespace Review {

int playClockStep(World &world, bool trouble)
{
    constexpr std::int64_t stepMs = 2000;
    constexpr std::int64_t finishMs = 14000; // finish_s
    constexpr int tasks = 16;
    const std::string id = World::jobId(1);
    world.planner = [](const std::string &, std::uint64_t) { return TaskPlan{3000, "done"}; };
    world.addWorkers(3);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    bool isAccepted = false;
    std::size_t lost = 0;
    std::string last;
    std::int64_t idleSince = 0; // Since when the job has had nothing running.
    std::int64_t longestIdle = 0;
    std::int64_t endOfTraffic = 0;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        world.addWorkers(1, trouble ? stepMs : 0);
        Worker &worker = *world.workers.back();
        world.loop.record("worker " + worker.id() + " starts" + (trouble ? ", the time of day of its machine is 2000 ms ahead" : ""));
        world.loop.after(900, [&] {
            const json body = {{"spec", "a job"}, {"steps", {{{"count", tasks}, {"cpu", 4000}, {"mem_mb", 1000}, {"estimate_ms", 3000}}}}};
            world.submit(id, body, [&](bool accepted) {
                isAccepted = accepted;
                endOfTraffic = nowMs();
                world.loop.record("client: job " + id + (accepted ? " accepted" : " not accepted"));
            });
        });
        world.loop.after(1000, [&] {
            worker.clockAhead = 0;
            world.loop.record("the time of day of the machine of " + worker.id() + " is right again");
        });
        world.loop.after(1500, [&] {
            lost = worker.running();
            worker.crash();
            world.loop.record("worker " + worker.id() + " crashes with " + std::to_string(lost) + " tasks");
        });
        world.loop.after(1700, [&] {
            worker.restart();
            world.loop.record("worker " + worker.id() + " has started again under its id");
        });
    });
    world.loop.every(100, [&] {
        // What the rule looks at: from finish_s after the end of the traffic on.
        const bool isWaiting = endOfTraffic > 0 && nowMs() >= endOfTraffic + finishMs && last != "completed" && !world.history.isRunning(id);
        idleSince = !isWaiting ? 0 : idleSince == 0 ? nowMs() : idleSince;
        longestIdle = std::max(longestIdle, idleSince == 0 ? 0 : nowMs() - idleSince);
    });
    world.loop.every(1000, [&] {
        world.state(id, [&](const std::string &state) {
            if (state != last) {
                world.loop.record("client: the job's state is " + state);
            }
            last = state;
            if (state == "completed") {
                world.loop.stop();
            }
        });
    });
    world.loop.after(60000, [&] { world.loop.stop(); });
    world.loop.run();
    world.loop.record("tasks: " + std::to_string(tasks) + ", ends `done`: " + std::to_string(world.history.ends(id, "done")) + ", state at the end: " + last);
    world.loop.record("from 14 s after the end of the traffic, the job had nothing running for " + std::to_string(longestIdle)
                      + " ms while its tasks waited and all workers were idle");
    if (!isAccepted || lost == 0) {
        return 2;
    }
    return longestIdle >= 3000 ? 1 : last == "completed" ? 0 : 2;
}

} // namespace Review
