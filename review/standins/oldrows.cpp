// Scenario: the store holds the rows of jobs that ended in the last hours, and the leading daemon is killed.
#include "scenarios.h"

#include <algorithm>

namespace Review {

int playOldRows(World &world, bool trouble)
{
    constexpr int oldJobs = 400000; // The site's 46 jobs a second, for two hours and a half.
    constexpr std::size_t memoryLimitKb = 260 * 1024; // memory_mb
    constexpr std::int64_t restartMs = 500;
    constexpr std::int64_t killAtMs = 6000;
    constexpr std::int64_t trafficMs = 30000;
    constexpr std::int64_t finishMs = 14000; // finish_s
    constexpr std::int64_t watchMs = 8000;
    world.planner = [](const std::string &, std::uint64_t) { return TaskPlan{200, "done"}; };
    world.addWorkers(4);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    bool isTraffic = false;
    std::uint64_t sent = 0;
    std::vector<std::string> accepted;
    std::map<std::string, std::string> states;
    std::int64_t endOfTraffic = 0;
    std::map<std::string, std::int64_t> idleSince;
    std::map<std::string, std::int64_t> longestIdle;
    int ends = 0;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        isTraffic = true;
        world.loop.after(killAtMs - 2000, [&] {
            const int rows = world.store.repeatRows("progress", oldJobs);
            world.loop.record("store: holds the final rows of " + std::to_string(rows)
                              + " jobs that ended before, each like one that the daemons wrote just now");
        });
        if (trouble) {
            world.loop.after(killAtMs, [&] {
                const std::string leader = world.leaderFromLogs();
                for (const auto &node : world.nodes) {
                    if (node->name() == leader) {
                        node->kill();
                        world.loop.record("daemon " + leader + " is killed");
                        world.loop.after(restartMs, [restarted = node.get()] { restarted->start(false); });
                    }
                }
            });
        }
        world.loop.after(trafficMs, [&] {
            isTraffic = false;
            endOfTraffic = nowMs();
            world.loop.record("end of the traffic: " + std::to_string(accepted.size()) + " jobs accepted");
            world.loop.after(finishMs + watchMs, [&] { world.loop.stop(); });
        });
    });
    // The platform kills a process that exceeds its memory, and starts it again.
    world.loop.every(100, [&] {
        for (const auto &node : world.nodes) {
            const std::size_t kb = node->residentKb();
            if (kb > memoryLimitKb) {
                node->kill();
                ++ends;
                world.loop.record("platform: daemon " + node->name() + " has " + std::to_string(kb / 1024) + " MB, more than memory_mb (260), and is killed");
                world.loop.after(restartMs, [restarted = node.get()] { restarted->start(false); });
            }
        }
    });
    world.loop.every(250, [&] {
        if (isTraffic) {
            const std::string id = World::jobId(++sent);
            const json body = {{"spec", "a job"}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 500}, {"estimate_ms", 200}}}}};
            world.submit(id, body, [&, id](bool done) {
                if (done) {
                    accepted.push_back(id);
                }
            });
        }
    });
    world.loop.every(100, [&] {
        if (endOfTraffic == 0 || nowMs() < endOfTraffic + finishMs) {
            return;
        }
        for (const std::string &id : accepted) {
            const bool waits = world.history.ends(id, "done") == 0 && !world.history.isRunning(id);
            idleSince[id] = !waits ? 0 : idleSince[id] == 0 ? nowMs() : idleSince[id];
            longestIdle[id] = std::max(longestIdle[id], idleSince[id] == 0 ? 0 : nowMs() - idleSince[id]);
        }
    });
    std::size_t next = 0;
    world.loop.every(20, [&] {
        for (std::size_t i = 0; i < accepted.size(); ++i) {
            const std::string &id = accepted[next++ % accepted.size()];
            if (states[id] != "completed") {
                world.state(id, [&, id](const std::string &state) { states[id] = state; });
                return;
            }
        }
    });
    world.loop.after(100000, [&] { world.loop.stop(); });
    world.loop.run();
    std::size_t lost = 0;
    for (const std::string &id : accepted) {
        if (longestIdle[id] >= 3000 && lost++ < 5) {
            world.loop.record("LOST: accepted job " + id + " had nothing running for " + std::to_string(longestIdle[id])
                              + " ms, from finish_s after the end of the traffic on, while its only task waited; shown as '" + states[id] + "'");
        }
    }
    world.loop.record(std::to_string(lost) + " of " + std::to_string(accepted.size())
                      + " accepted jobs lost; daemons ended by their memory: " + std::to_string(ends));
    return accepted.size() < 20 ? 2 : lost > 0 ? 1 : 0;
}

} // namespace Review
