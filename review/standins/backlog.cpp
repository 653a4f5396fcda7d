// Scenario: a recurring job is handed in whose first run lies eight hours in the past, beside single jobs that come all the time.
#include "scenarios.h"

#include <algorithm>

namespace Review {

int playBacklog(World &world, bool trouble)
{
    constexpr std::int64_t intervalMs = 1000;
    constexpr int occurrences = 28800; // One each second, for eight hours.
    constexpr std::int64_t trafficMs = 20000;
    constexpr std::int64_t finishMs = 14000; // finish_s
    constexpr std::int64_t watchMs = 6000;
    const std::string recurring = World::jobId(1);
    world.planner = [](const std::string &, std::uint64_t) { return TaskPlan{200, "done"}; };
    world.addWorkers(4);
    world.addNodes(7);
    world.writeConfig(true);
    world.startNodes();
    bool isTraffic = false;
    std::uint64_t sent = 1;
    std::vector<std::string> accepted;
    std::map<std::string, std::string> states;
    std::int64_t endOfTraffic = 0;
    std::int64_t first = 0; // When the first occurrence is due, as Unix time.
    std::map<std::string, std::int64_t> idleSince; // By accepted single job: since when it waits with nothing running.
    std::map<std::string, std::int64_t> longestIdle;
    std::size_t mostRunning = 0; // After finish_s.
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        isTraffic = true;
        world.loop.after(3000, [&] {
            first = unixMs() - (trouble ? occurrences * intervalMs : 0);
            const json body = {{"spec", "each second"},
                               {"steps", {{{"count", 1}, {"cpu", 100}, {"mem_mb", 50}, {"estimate_ms", 200}}}},
                               {"repeat_count", occurrences},
                               {"interval_ms", intervalMs},
                               {"first_run_ms", first}};
            world.loop.record("client: job " + recurring + ", " + std::to_string(occurrences) + " occurrences, one each second, the first "
                              + (trouble ? "eight hours ago" : "now"));
            world.submit(recurring, body, [&](bool done) {
                if (done) {
                    accepted.push_back(recurring);
                }
                world.loop.record("client: job " + recurring + (done ? " accepted" : " not accepted"));
            });
        });
        world.loop.after(trafficMs, [&] {
            isTraffic = false;
            endOfTraffic = nowMs();
            world.loop.record("end of the traffic: " + std::to_string(accepted.size()) + " jobs accepted");
            world.loop.after(finishMs + watchMs, [&] { world.loop.stop(); });
        });
    });
    world.loop.every(500, [&] {
        if (isTraffic) {
            const std::string id = World::jobId(++sent);
            const json body = {{"spec", "a single job"}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 500}, {"estimate_ms", 200}}}}};
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
        std::size_t running = 0;
        for (const auto &worker : world.workers) {
            running += worker->running();
        }
        mostRunning = std::max(mostRunning, running);
        for (const std::string &id : accepted) {
            const std::int64_t due = id != recurring ? 1 : std::min<std::int64_t>((unixMs() - first) / intervalMs + 1, occurrences);
            const bool waits = world.history.ends(id, "done") < due && !world.history.isRunning(id);
            idleSince[id] = !waits ? 0 : idleSince[id] == 0 ? nowMs() : idleSince[id];
            longestIdle[id] = std::max(longestIdle[id], idleSince[id] == 0 ? 0 : nowMs() - idleSince[id]);
        }
    });
    std::size_t next = 0;
    world.loop.every(50, [&] {
        for (std::size_t i = 0; i < accepted.size(); ++i) {
            const std::string &id = accepted[next++ % accepted.size()];
            if (states[id] != "completed" && id != recurring) {
                world.state(id, [&, id](const std::string &state) { states[id] = state; });
                return;
            }
        }
    });
    world.loop.after(100000, [&] { world.loop.stop(); });
    world.loop.run();
    std::size_t lost = 0;
    for (const std::string &id : accepted) {
        if (longestIdle[id] >= 3000) {
            if (lost++ < 5) {
                world.loop.record("LOST: accepted job " + id + " had nothing running for " + std::to_string(longestIdle[id])
                                  + " ms, from finish_s after the end of the traffic on, while a task of it waited; shown as '" + states[id]
                                  + "', starts: " + std::to_string(world.history.startsOf(id)));
            }
        }
    }
    world.loop.record(std::to_string(lost) + " of " + std::to_string(accepted.size())
                      + " accepted jobs lost; most tasks running at a time meanwhile: " + std::to_string(mostRunning) + ", room: 64 cores");
    int changes = 0;
    for (const auto &node : world.nodes) {
        changes += node->leaderships();
    }
    world.loop.record("leaderships begun: " + std::to_string(changes) + " (from the daemons' logs, for information)");
    return accepted.size() < 2 ? 2 : lost > 0 ? 1 : 0;
}

} // namespace Review
