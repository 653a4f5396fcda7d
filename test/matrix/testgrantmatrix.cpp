// Request grants and claims under faults: a worker never has more grants in use than slots, a leaving VM gets no grant after
// 5 s, and one key is claimed at most once.
#include "scenario.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace KingCupLadder;
using namespace KingCupLadder::Matrix;

namespace {

constexpr std::size_t seedsPerFault = 2;
constexpr Duration pollStep{10};
constexpr Duration leavingBound{5000};
constexpr std::int64_t slotsPerWorker = 8;

/// Callers at every daemon that ask for grants, use them and release them. Independent of the core's own counts.
class Callers
{
public:
    Callers(Fleet &fleet, std::uint64_t seed) : m_fleet(fleet), m_random(seed) { }

    std::size_t granted = 0;
    std::int64_t mostInUse = 0; ///< On one worker.

    /// The connections of a daemon that dies end with it.
    void daemonDied(std::size_t daemon)
    {
        const auto ofDaemon = [daemon](const auto &item) { return item.daemon == daemon; };
        m_wishes.erase(std::remove_if(m_wishes.begin(), m_wishes.end(), ofDaemon), m_wishes.end());
        m_uses.erase(std::remove_if(m_uses.begin(), m_uses.end(), ofDaemon), m_uses.end());
    }

    void run(Duration span)
    {
        for (const TimePoint end = m_fleet.now() + span; m_fleet.now() < end;) {
            wish();
            m_fleet.run(pollStep);
            take();
            finish();
            report();
        }
    }

private:
    struct Wish {
        std::size_t daemon = 0;
        OpId op;
        TimePoint at{};
    };
    struct Use {
        std::size_t daemon = 0;
        Grant grant;
        TimePoint doneAt{}; ///< The response arrives.
        TimePoint termEnd{}; ///< The holder aborts the request.
    };

    void wish()
    {
        for (std::size_t daemon = 0; daemon < m_fleet.daemonCount(); ++daemon) {
            if (!m_fleet.isUp(daemon) || m_random() % 8 != 0) {
                continue;
            }
            GrantWish wish;
            wish.route = RouteName("batch");
            wish.pool = PoolName("main");
            wish.team = TeamId(m_random() % 3 == 0 ? "blue" : "red");
            wish.demand.slots = Slots(1);
            wish.term = Duration(300 + static_cast<std::int64_t>(m_random() % 6000));
            const OpId op = m_fleet.core(daemon).acquireGrant(wish, m_fleet.now());
            m_wishes.push_back(Wish{daemon, op, m_fleet.now()});
            static_cast<void>(m_fleet.await(daemon, op, Duration(0)));
        }
    }

    void take()
    {
        std::vector<Wish> waiting;
        for (const Wish &wish : m_wishes) {
            const auto answer = m_fleet.answerOf(wish.daemon, wish.op);
            if (!answer) {
                waiting.push_back(wish);
                continue;
            }
            const Grant *grant = std::get_if<Grant>(&answer->body);
            if (grant == nullptr) {
                continue;
            }
            ++granted;
            const TimePoint termEnd = wish.at + grant->term;
            const Duration served(50 + static_cast<std::int64_t>(m_random() % 4000));
            if (termEnd > m_fleet.now()) {
                checkLeaving(*grant);
                m_uses.push_back(Use{wish.daemon, *grant, m_fleet.now() + served, termEnd});
            }
        }
        m_wishes = std::move(waiting);
    }

    void checkLeaving(const Grant &grant)
    {
        for (const auto &worker : m_fleet.workers) {
            const bool leaving = worker->leavingSince != TimePoint::max();
            if (worker->vm().id == grant.worker && leaving && m_fleet.now() - pollStep > worker->leavingSince + leavingBound) {
                m_fleet.checkers.report("grant " + grant.id.value() + " was given on leaving " + grant.worker.value());
            }
        }
    }

    void finish()
    {
        std::vector<Use> going;
        for (const Use &use : m_uses) {
            if (m_fleet.now() < use.doneAt && m_fleet.now() < use.termEnd) {
                going.push_back(use);
            } else if (m_fleet.isUp(use.daemon)) {
                m_fleet.core(use.daemon).releaseGrant(use.grant, use.doneAt <= m_fleet.now() ? GrantOutcome::Succeeded : GrantOutcome::TimedOut, m_fleet.now());
            }
        }
        m_uses = std::move(going);
    }

    void report()
    {
        std::map<WorkerId, std::int64_t> busy;
        for (const Use &use : m_uses) {
            ++busy[use.grant.worker];
        }
        for (const auto &worker : m_fleet.workers) {
            const std::int64_t used = busy[worker->vm().id];
            worker->busySlots = Slots(used);
            mostInUse = std::max(mostInUse, used);
            if (used > slotsPerWorker) {
                m_fleet.checkers.report("worker " + worker->vm().id.value() + " has " + std::to_string(used) + " grants in use");
            }
        }
    }

    Fleet &m_fleet;
    std::mt19937_64 m_random;
    std::vector<Wish> m_wishes;
    std::vector<Use> m_uses;
};

struct GrantFault {
    std::string name;
    std::function<void(Fleet &, Callers &)> inject;
};

void restart(Fleet &fleet, Callers &callers, std::size_t daemon)
{
    fleet.kill(daemon);
    callers.daemonDied(daemon);
    fleet.start(daemon);
}

std::vector<GrantFault> grantFaults()
{
    return {
        {"none", [](Fleet &, Callers &) {}},
        {"owner killed",
         [](Fleet &f, Callers &c) {
             f.kill(1);
             c.daemonDied(1);
         }},
        {"one restarts", [](Fleet &f, Callers &c) { restart(f, c, 0); }},
        {"all restart",
         [](Fleet &f, Callers &c) {
             for (std::size_t i = 0; i < f.daemonCount(); ++i) {
                 restart(f, c, i);
             }
         }},
        {"owner paused", [](Fleet &f, Callers &) { f.pause(1, Duration(12000)); }},
        {"holder paused", [](Fleet &f, Callers &) { f.pause(2, Duration(3000)); }},
        {"domains cut", [](Fleet &f, Callers &) { f.cutBothWays("a", "b"); }},
        {"domain b cut from store", [](Fleet &f, Callers &) { f.cutBothWays("b", "store"); }},
        {"answers lost", [](Fleet &f, Callers &) { f.storeLosesAnswers = true; }},
        {"messages late and repeated",
         [](Fleet &f, Callers &) {
             f.duplicateChance = 0.3;
             f.peerJitter = Duration(400);
         }},
        {"worker leaves", [](Fleet &f, Callers &) { f.markLeaving(1); }},
        {"worker leaves, owner cut from store",
         [](Fleet &f, Callers &) {
             f.cutBothWays("b", "store");
             f.markLeaving(1);
         }},
    };
}

} // namespace

TEST_GROUP(GrantMatrix){};

// Guards against slots that are given twice after a change of owner, and against grants on VMs that are about to stop.
TEST(GrantMatrix, NoWorkerHasMoreGrantsInUseThanSlots)
{
    std::string failures;
    std::size_t runs = 0;
    std::size_t granted = 0;
    std::int64_t mostInUse = 0;
    for (const GrantFault &fault : grantFaults()) {
        for (std::size_t i = 0; i < seedsPerFault; ++i) {
            FleetOptions options;
            options.seed = seedFromEnvironment() * 1000 + i;
            Fleet fleet(options);
            settle(fleet, 100);
            Callers callers(fleet, options.seed);
            callers.run(Duration(4000 + 700 * static_cast<std::int64_t>(i)));
            fault.inject(fleet, callers);
            callers.run(Duration(16000));
            healEverything(fleet);
            callers.run(Duration(4000));
            ++runs;
            granted += callers.granted;
            mostInUse = std::max(mostInUse, callers.mostInUse);
            if (callers.granted == 0) {
                fleet.checkers.report("no grant was given");
            }
            if (!fleet.checkers.violations.empty()) {
                failures += "\n  [" + fault.name + "] " + fleet.checkers.violations.front() + reproductionCommand("GrantMatrix", options.seed);
            }
        }
    }
    std::printf("grants: %zu runs, %zu grants, at most %lld in use on one worker\n", runs, granted, static_cast<long long>(mostInUse));
    STRCMP_EQUAL("", failures.c_str());
    CHECK_TRUE_TEXT(mostInUse == slotsPerWorker,
                    ("no run used all slots of a worker" + reproductionCommand("GrantMatrix", seedFromEnvironment() * 1000)).c_str());
}

// Guards against a non-idempotent request that is sent by two daemons.
TEST(GrantMatrix, OneKeyIsClaimedAtMostOnce)
{
    constexpr std::size_t runsWanted = 10;
    constexpr std::size_t keys = 6;
    std::string failures;
    std::size_t mine = 0;
    for (std::size_t run = 0; run < runsWanted; ++run) {
        FleetOptions options;
        options.seed = seedFromEnvironment() * 1000 + run;
        Fleet fleet(options);
        std::mt19937_64 random(options.seed);
        settle(fleet, 100);
        for (std::size_t key = 0; key < keys; ++key) {
            const std::string name = "key" + std::to_string(key);
            std::size_t owners = 0;
            std::map<std::size_t, OpId> open;
            const auto collect = [&] {
                for (auto it = open.begin(); it != open.end();) {
                    const auto answer = fleet.answerOf(it->first, it->second);
                    const ClaimState *state = answer ? std::get_if<ClaimState>(&answer->body) : nullptr;
                    owners += state != nullptr && state->mine ? 1 : 0;
                    it = answer ? open.erase(it) : std::next(it);
                }
            };
            for (int attempt = 0; attempt < 40; ++attempt) {
                for (std::size_t daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
                    if (fleet.isUp(daemon) && open.count(daemon) == 0) {
                        open[daemon] = fleet.core(daemon).claim(TeamId("red"), name, "print", fleet.now());
                    }
                }
                fleet.run(Duration(static_cast<std::int64_t>(1 + random() % 200)));
                collect();
                if (attempt % 10 == 3) {
                    fleet.storeLosesAnswers = random() % 2 == 0;
                    fleet.storeDelay = Duration(random() % 2 == 0 ? 2 : 600);
                }
                if (attempt % 10 == 7) {
                    const std::size_t daemon = random() % fleet.daemonCount();
                    fleet.kill(daemon);
                    open.erase(daemon);
                    fleet.start(daemon);
                }
            }
            healEverything(fleet);
            fleet.run(Duration(6000));
            collect();
            mine += owners;
            if (owners > 1) {
                failures += "\n  " + name + " was claimed " + std::to_string(owners) + " times" + reproductionCommand("GrantMatrix", options.seed);
            }
        }
    }
    std::printf("claims: %zu runs, %zu keys, %zu claimed\n", runsWanted, runsWanted * keys, mine);
    CHECK_TRUE_TEXT(mine > 0, ("no key was claimed" + reproductionCommand("GrantMatrix", seedFromEnvironment() * 1000)).c_str());
    STRCMP_EQUAL("", failures.c_str());
}
