// Scenario: a job with many occurrences, beside which single jobs come all the time.
#include "scenarios.h"

#include <algorithm>

namespace Review {

int playRecurring(World &world, bool trouble)
{
    constexpr int steps = 10;
    constexpr std::int64_t intervalMs = 40;
    const int occurrences = trouble ? 1500 : 300;
    constexpr std::int64_t trafficMs = 60000;
    constexpr std::int64_t calmMs = 20000; // After the traffic: more than finish_s and ack_timeout_ms.
    constexpr std::int64_t ackTimeoutMs = 4000;
    const std::string recurring = World::jobId(1);
    world.planner = [](const std::string &, std::uint64_t) { return TaskPlan{150, "done"}; };
    world.addWorkers(4);
    world.addNodes(3);
    world.writeConfig(true);
    world.startNodes();
    bool isAccepted = false;
    bool isTraffic = false;
    std::uint64_t sent = 1;
    std::vector<std::string> accepted;
    std::map<std::string, std::string> states;
    world.whenReady([&] {
        world.loop.record("all daemons are ready");
        json list = json::array();
        for (int i = 0; i < steps; ++i) {
            list.push_back({{"count", 1}, {"cpu", 100}, {"mem_mb", 50}, {"estimate_ms", 150}});
        }
        const json body = {{"spec", "a pipeline"}, {"steps", list}, {"repeat_count", occurrences}, {"interval_ms", intervalMs}, {"first_run_ms", unixMs() + 500}};
        world.submit(recurring, body, [&](bool done) {
            isAccepted = done;
            isTraffic = done;
            world.loop.record("client: job " + recurring + " with " + std::to_string(occurrences) + " occurrences of " + std::to_string(steps) + " steps, one each "
                              + std::to_string(intervalMs) + " ms" + (done ? ", accepted" : ", not accepted"));
            world.loop.after(trafficMs, [&] {
                isTraffic = false;
                world.loop.record("end of the traffic: " + std::to_string(accepted.size()) + " single jobs accepted");
                world.loop.after(calmMs, [&] { world.loop.stop(); });
            });
        });
    });
    world.loop.every(200, [&] {
        if (isTraffic) {
            const std::string id = World::jobId(++sent);
            const json body = {{"spec", "a single job"}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 500}, {"estimate_ms", 150}}}}};
            world.submit(id, body, [&, id](bool done) {
                if (done) {
                    accepted.push_back(id);
                }
            });
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
    world.loop.after(110000, [&] { world.loop.stop(); });
    world.loop.run();
    std::size_t open = 0;
    for (const std::string &id : accepted) {
        const std::int64_t end = world.history.lastEndOf(id);
        if (states[id] != "completed" && end > 0 && nowMs() - end > ackTimeoutMs && world.history.ends(id, "done") > 0) {
            if (open++ < 3) {
                world.loop.record("client: single job " + id + " is shown as " + states[id] + ", " + std::to_string(nowMs() - end)
                                  + " ms after its only task ended done");
            }
        }
    }
    world.loop.record("single jobs done and not shown as completed: " + std::to_string(open) + " of " + std::to_string(accepted.size()));
    std::size_t listed = 0;
    std::size_t noted = 0;
    for (const auto &[task, ends] : world.history.done) {
        for (const History::Done &end : ends) {
            listed += nowMs() - end.at > ackTimeoutMs ? 1 : 0;
            noted += nowMs() - end.at > ackTimeoutMs && end.isNoted ? 1 : 0;
        }
    }
    world.loop.record("ends listed for over " + std::to_string(ackTimeoutMs) + " ms: " + std::to_string(listed) + ", not taken note of: " + std::to_string(listed - noted)
                      + "; transactions refused by the store: " + std::to_string(world.store.refusedRows()));
    if (!isAccepted || listed == 0) {
        return 2;
    }
    return (listed - noted) * 5 > listed ? 1 : 0;
}

} // namespace Review
