// Scenario: a queue's route is removed by one version of the configuration and added again by the next one while a job of it is at work.
#include "scenarios.h"

namespace Review {

int playRemovedRoute(World &world, bool trouble)
{
    const std::string id = World::jobId(1);
    // The first run of one task fails; all other runs succeed.
    world.planner = [](const std::string &task, std::uint64_t) {
        static bool hasFailed = false;
        if (parseTask(task).index == 0 && !hasFailed) {
            hasFailed = true;
            return TaskPlan{5000, "failed"};
        }
        return TaskPlan{5000, "done"};
    };
    world.addWorkers(3);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    bool isAccepted = false;
    std::string last;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        const json body = {{"spec", "a job"}, {"steps", {{{"count", 4}, {"cpu", 2000}, {"mem_mb", 1000}, {"estimate_ms", 5000}}}}};
        world.submit(id, body, [&](bool accepted) {
            isAccepted = accepted;
            world.loop.record("client: job " + id + (accepted ? " accepted" : " not accepted"));
        });
        if (trouble) {
            world.loop.after(2000, [&] { world.writeConfig(false); });
            world.loop.after(10000, [&] { world.writeConfig(true); });
        }
        world.loop.after(14000, [&] {
            world.loop.every(1000, [&] {
                world.state(id, [&](const std::string &state) {
                    if (state != last) {
                        world.loop.record("client: the job's state is " + state);
                    }
                    last = state;
                    if (state == "completed" || state == "failed") {
                        world.loop.stop();
                    }
                });
            });
        });
    });
    world.loop.after(60000, [&] { world.loop.stop(); });
    world.loop.run();
    const int failures = world.history.ends(id, "failed");
    world.loop.record("ends `failed`: " + std::to_string(failures) + ", attempts of the queue in every version: " + std::to_string(World::attemptsOfQueue)
                      + ", ends `done`: " + std::to_string(world.history.ends(id, "done")) + ", state at the end: " + last);
    if (!isAccepted || failures == 0) {
        return 2;
    }
    return last == "failed" && failures < World::attemptsOfQueue ? 1 : last == "completed" ? 0 : 2;
}

} // namespace Review
