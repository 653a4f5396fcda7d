// Scenario: workers crash and start again, some at a time, while jobs come whose tasks work together. No task fails.
#include "scenarios.h"

#include <algorithm>
#include <random>

namespace Review {

namespace {

/// The most runs that one task of the job has lost with a worker.
int mostLost(const World &world, const std::string &id)
{
    int most = 0;
    for (auto entry = world.history.starts.lower_bound(id); entry != world.history.starts.end() && entry->first.compare(0, id.size(), id) == 0; ++entry) {
        const auto lost = std::count_if(entry->second.begin(), entry->second.end(), [](const History::Start &start) { return start.how == "crash"; });
        most = std::max(most, static_cast<int>(lost));
    }
    return most;
}

} // namespace

int playCrashes(World &world, bool trouble)
{
    constexpr int workerCount = 24;
    constexpr int crashing = 3; // An eighth of the workers.
    constexpr std::int64_t crashEveryMs = 1000;
    constexpr std::int64_t downMs = 1000;
    constexpr std::int64_t trafficMs = 60000;
    constexpr std::int64_t jobEveryMs = 450;
    world.planner = [](const std::string &, std::uint64_t) { return TaskPlan{1500, "done"}; };
    world.addWorkers(workerCount);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    std::mt19937 random(1);
    std::vector<std::string> accepted;
    std::map<std::string, std::string> states;
    std::uint64_t sent = 0;
    int rounds = 0;
    bool isTraffic = false;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        isTraffic = true;
        world.loop.after(trafficMs, [&] {
            isTraffic = false;
            world.loop.record("end of the traffic: " + std::to_string(sent) + " jobs sent, " + std::to_string(accepted.size()) + " accepted, "
                              + std::to_string(rounds) + " rounds of crashes");
        });
    });
    world.loop.every(jobEveryMs, [&] {
        if (!isTraffic) {
            return;
        }
        const std::string id = World::jobId(++sent);
        const json body = {{"spec", "a gang"}, {"steps", {{{"count", 4}, {"cpu", 9000}, {"mem_mb", 9000}, {"estimate_ms", 1500}, {"gang", true}}}}};
        world.submit(id, body, [&, id](bool isAccepted) {
            if (isAccepted) {
                accepted.push_back(id);
            }
        });
    });
    world.loop.every(crashEveryMs, [&] {
        if (!isTraffic || !trouble) {
            return;
        }
        ++rounds;
        std::vector<Worker *> up;
        for (const auto &worker : world.workers) {
            if (worker->isUp()) {
                up.push_back(worker.get());
            }
        }
        std::shuffle(up.begin(), up.end(), random);
        up.resize(std::min<std::size_t>(up.size(), crashing));
        for (Worker *worker : up) {
            worker->crash();
            world.loop.after(downMs, [worker] { worker->restart(); });
        }
    });
    // Each job is asked for until it has a final state.
    int failedWithoutCause = 0;
    std::size_t next = 0;
    world.loop.every(10, [&] {
        for (std::size_t i = 0; i < accepted.size(); ++i) {
            const std::string &id = accepted[next++ % accepted.size()];
            const std::string &known = states[id];
            if (known != "completed" && known != "failed") {
                world.state(id, [&, id](const std::string &state) {
                    if (state == "failed" && states[id] != "failed") {
                        // No task of the job lost its worker more than once, and no run ended `failed`.
                        failedWithoutCause += world.history.ends(id, "failed") == 0 && mostLost(world, id) <= 1 ? 1 : 0;
                        world.loop.record("LOST: job " + id + " is shown as failed; its runs: " + std::to_string(world.history.startsOf(id))
                                          + ", ended failed: " + std::to_string(world.history.ends(id, "failed")) + ", lost with a crashed worker: "
                                          + std::to_string(world.history.ends(id, "crash")) + ", of one task at most " + std::to_string(mostLost(world, id)));
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
    int failedEnds = 0;
    for (const auto &[task, list] : world.history.starts) {
        failedEnds += static_cast<int>(std::count_if(list.begin(), list.end(), [](const History::Start &start) { return start.how == "failed"; }));
    }
    world.loop.record("ends `failed` of all tasks: " + std::to_string(failedEnds)
                      + "; jobs shown as failed of which no task lost its worker more than once: " + std::to_string(failedWithoutCause));
    return accepted.empty() || failedEnds > 0 ? 2 : failedWithoutCause > 0 ? 1 : 0;
}

} // namespace Review
