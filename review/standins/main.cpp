// Plays one scenario: world SCENARIO DIRECTORY RECORD. TROUBLE=0 in the environment leaves the disruption out.
#include "scenarios.h"

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>

using namespace Review;

int Review::verdictOfTwice(World &world, bool hasRun)
{
    const std::vector<std::string> breaches = world.history.twice();
    for (std::size_t i = 0; i < breaches.size() && i < 20; ++i) {
        world.loop.record("TWICE: " + breaches[i]);
    }
    world.loop.record(std::to_string(breaches.size()) + " breaches of TWICE");
    return !hasRun ? 2 : breaches.empty() ? 0 : 1;
}

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(World &, bool)>> scenarios{
        {"many-ends", playManyEnds}, {"removed-route", playRemovedRoute}, {"crashes", playCrashes}, {"backlog", playBacklog}, {"old-rows", playOldRows}};
    if (argc != 4 || scenarios.count(argv[1]) == 0) {
        std::fprintf(stderr, "usage: world SCENARIO DIRECTORY RECORD\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    try {
        World world(argv[2], argv[3]);
        const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
        world.loop.record(std::string("scenario ") + argv[1] + (hasTrouble ? "" : ", without the disruption"));
        event *terminate = evsignal_new(
            world.loop.base(), SIGTERM, [](evutil_socket_t, short, void *) { throw std::runtime_error("terminated"); }, nullptr);
        event_add(terminate, nullptr);
        const int code = scenarios.at(argv[1])(world, hasTrouble);
        world.loop.record(code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "the case could not run");
        return code;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "world: %s\n", error.what());
        return 2;
    }
}
