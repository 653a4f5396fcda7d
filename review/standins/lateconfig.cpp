// Scenario: the leading daemon is killed and restarted, and the connection on which it reads the configuration goes silent. Some tasks fail
// once.
#include "scenarios.h"

#include <algorithm>

namespace Review {

int playLateConfig(World &world, bool trouble)
{
    constexpr std::int64_t trafficMs = 20000;
    constexpr std::int64_t jobEveryMs = 50;
    // The first run of one task in five fails; all other runs succeed.
    std::map<std::string, int> runs;
    world.planner = [&runs](const std::string &task, std::uint64_t) {
        const bool isFirst = runs[task]++ == 0;
        const bool fails = isFirst && std::hash<std::string>()(task) % 5 == 0;
        return TaskPlan{600, fails ? "failed" : "done"};
    };
    world.addWorkers(6);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    std::vector<std::string> accepted;
    std::map<std::string, std::string> states;
    std::uint64_t sent = 0;
    bool isTraffic = false;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        isTraffic = true;
        world.loop.after(trafficMs, [&] { isTraffic = false; });
        if (trouble) {
            world.loop.after(5000, [&] {
                const std::string leader = world.leaderFromLogs();
                for (const auto &node : world.nodes) {
                    if (node->name() == leader) {
                        node->kill();
                        world.loop.record("daemon " + leader + " is killed");
                        world.store.silenceConnection(node->storePort(), "op"); // The operator's table.
                        world.loop.after(500, [&world, restarted = node.get()] {
                            restarted->start(false);
                            world.loop.record("daemon " + restarted->name() + " is started again");
                        });
                    }
                }
            });
        }
    });
    world.loop.every(jobEveryMs, [&] {
        if (!isTraffic) {
            return;
        }
        const std::string id = World::jobId(++sent);
        const json body = {{"spec", "a short job"}, {"steps", {{{"count", 2}, {"cpu", 1400}, {"mem_mb", 2900}, {"estimate_ms", 600}}}}};
        world.submit(id, body, [&, id](bool isAccepted) {
            if (isAccepted) {
                accepted.push_back(id);
            }
        });
    });
    std::size_t next = 0;
    world.loop.every(10, [&] {
        for (std::size_t i = 0; i < accepted.size(); ++i) {
            const std::string &id = accepted[next++ % accepted.size()];
            const std::string &known = states[id];
            if (known != "completed" && known != "failed") {
                world.state(id, [&, id](const std::string &state) {
                    if (state == "failed" && states[id] != "failed") {
                        world.loop.record("LOST: job " + id + " is shown as failed; its runs: " + std::to_string(world.history.startsOf(id))
                                          + ", ended failed: " + std::to_string(world.history.ends(id, "failed")));
                    }
                    states[id] = state;
                });
                return;
            }
        }
        if (!isTraffic && sent > 0 && !accepted.empty()) {
            world.loop.stop();
        }
    });
    world.loop.after(trafficMs + 40000, [&] { world.loop.stop(); });
    world.loop.run();
    const auto count = [&states](const char *state) {
        return std::count_if(states.begin(), states.end(), [state](const auto &entry) { return entry.second == state; });
    };
    world.loop.record("accepted jobs shown as completed: " + std::to_string(count("completed")) + ", as failed: " + std::to_string(count("failed")) + " of "
                      + std::to_string(accepted.size()));
    return accepted.empty() ? 2 : count("failed") > 0 ? 1 : 0;
}

} // namespace Review
