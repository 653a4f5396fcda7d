// Scenario: the store is down for some seconds while workers end many short tasks.
#include "scenarios.h"

namespace Review {

int playManyEnds(World &world, bool trouble)
{
    constexpr int jobs = 4;
    constexpr int tasksPerJob = 1000;
    constexpr std::int64_t outageMs = 4500;
    world.planner = [](const std::string &, std::uint64_t) { return TaskPlan{300, "done"}; };
    world.addWorkers(2);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    int completed = 0;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        for (int i = 0; i < jobs; ++i) {
            const json body = {{"spec", "short tasks"}, {"steps", {{{"count", tasksPerJob}, {"cpu", 200}, {"mem_mb", 200}, {"estimate_ms", 300}}}}};
            const std::string id = World::jobId(static_cast<std::uint64_t>(i) + 1);
            world.submit(id, body, [&world, id](bool accepted) { world.loop.record("client: job " + id + (accepted ? " accepted" : " not accepted")); });
        }
        if (trouble) {
            world.loop.after(1500, [&] {
                world.store.setFault(StoreFault::Silent);
                world.loop.record("store: down (silent) for " + std::to_string(outageMs) + " ms");
            });
            world.loop.after(1500 + outageMs, [&] {
                world.store.setFault(StoreFault::None);
                for (const auto &worker : world.workers) {
                    world.loop.record("worker " + worker->id() + ": " + std::to_string(worker->unacknowledged()) + " ends not yet taken note of");
                }
                world.loop.record("store: up again");
            });
        }
    });
    world.loop.every(1000, [&] {
        completed = 0;
        for (int i = 0; i < jobs; ++i) {
            const std::string id = World::jobId(static_cast<std::uint64_t>(i) + 1);
            world.state(id, [&, id](const std::string &state) {
                completed += state == "completed" ? 1 : 0;
                if (completed == jobs) {
                    world.loop.stop();
                }
            });
        }
    });
    world.loop.after(90000, [&] { world.loop.stop(); });
    world.loop.run();
    world.loop.record("jobs shown as completed: " + std::to_string(completed) + " of " + std::to_string(jobs));
    std::size_t starts = 0;
    for (const auto &[task, list] : world.history.starts) {
        starts += list.size();
    }
    world.loop.record("tasks: " + std::to_string(jobs * tasksPerJob) + ", starts: " + std::to_string(starts));
    return verdictOfTwice(world, starts > 0);
}

} // namespace Review
