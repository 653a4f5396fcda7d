// Request grants and idempotency claims under faults: a worker never has more grants in use than slots, a leaving VM gets no grant
// after 5 s, and each idempotency key is claimed at most once.
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

/// Simulates callers at every daemon that acquire, use and release grants. Counts the grants in use independently of the core.
class SimulatedCallers
{
public:
    SimulatedCallers(MatrixFleet &fleet, std::uint64_t seed) : m_fleet(fleet), m_random(seed) { }

    std::size_t granted = 0;
    std::int64_t maxInUse = 0; ///< The maximum on one worker.

    /// Drops the grants held through a daemon that dies, whose connections end with it.
    void daemonDied(std::size_t daemon)
    {
        const auto ofDaemon = [daemon](const auto &item) { return item.daemon == daemon; };
        m_pendingGrants.erase(std::remove_if(m_pendingGrants.begin(), m_pendingGrants.end(), ofDaemon), m_pendingGrants.end());
        m_uses.erase(std::remove_if(m_uses.begin(), m_uses.end(), ofDaemon), m_uses.end());
    }

    void run(Duration span)
    {
        for (const TimePoint end = m_fleet.now() + span; m_fleet.now() < end;) {
            acquire();
            m_fleet.run(pollStep);
            collectGrants();
            releaseFinished();
            reportBusySlots();
        }
    }

private:
    struct PendingGrant {
        std::size_t daemon = 0;
        OpId op;
        TimePoint at{};
    };
    struct Use {
        std::size_t daemon = 0;
        Grant grant;
        TimePoint doneAt{}; ///< When the response arrives.
        TimePoint termEnd{}; ///< When the holder aborts the request.
    };

    void acquire()
    {
        for (std::size_t daemon = 0; daemon < m_fleet.daemonCount(); ++daemon) {
            if (!m_fleet.isUp(daemon) || m_random() % 8 != 0) {
                continue;
            }
            GrantSpec request;
            request.route = RouteName("batch");
            request.pool = PoolName("main");
            request.team = TeamId(m_random() % 3 == 0 ? "blue" : "red");
            request.demand.slots = Slots(1);
            request.term = Duration(300 + static_cast<std::int64_t>(m_random() % 6000));
            const OpId op = m_fleet.core(daemon).acquireGrant(request, m_fleet.now());
            m_pendingGrants.push_back(PendingGrant{daemon, op, m_fleet.now()});
            // Executes the commands of the call without waiting for the answer.
            static_cast<void>(m_fleet.await(daemon, op, Duration(0)));
        }
    }

    void collectGrants()
    {
        std::vector<PendingGrant> waiting;
        for (const PendingGrant &pendingGrant : m_pendingGrants) {
            const auto answer = m_fleet.answerOf(pendingGrant.daemon, pendingGrant.op);
            if (!answer) {
                waiting.push_back(pendingGrant);
                continue;
            }
            const Grant *grant = std::get_if<Grant>(&answer->body);
            if (grant == nullptr) {
                continue;
            }
            ++granted;
            const TimePoint termEnd = pendingGrant.at + grant->term;
            const Duration served(50 + static_cast<std::int64_t>(m_random() % 4000));
            if (termEnd > m_fleet.now()) {
                checkLeaving(*grant);
                m_uses.push_back(Use{pendingGrant.daemon, *grant, m_fleet.now() + served, termEnd});
            }
        }
        m_pendingGrants = std::move(waiting);
    }

    /// Reports a grant on a VM that has been leaving for too long. The grant may have been given up to one poll step earlier.
    void checkLeaving(const Grant &grant)
    {
        for (const auto &worker : m_fleet.workers) {
            const bool leaving = worker->leavingSince != TimePoint::max();
            if (worker->vm().id == grant.worker && leaving && m_fleet.now() - pollStep > worker->leavingSince + leavingBound) {
                m_fleet.checker.report("grant " + grant.id.value() + " was given on leaving " + grant.worker.value());
            }
        }
    }

    void releaseFinished()
    {
        std::vector<Use> ongoing;
        for (const Use &use : m_uses) {
            if (m_fleet.now() < use.doneAt && m_fleet.now() < use.termEnd) {
                ongoing.push_back(use);
            } else if (m_fleet.isUp(use.daemon)) {
                m_fleet.core(use.daemon).releaseGrant(use.grant, use.doneAt <= m_fleet.now() ? GrantOutcome::Succeeded : GrantOutcome::TimedOut, m_fleet.now());
            }
        }
        m_uses = std::move(ongoing);
    }

    /// Sets the busy slots that the workers report, and checks that none exceeds its capacity.
    void reportBusySlots()
    {
        std::map<WorkerId, std::int64_t> busy;
        for (const Use &use : m_uses) {
            ++busy[use.grant.worker];
        }
        for (const auto &worker : m_fleet.workers) {
            const std::int64_t used = busy[worker->vm().id];
            worker->busySlots = Slots(used);
            maxInUse = std::max(maxInUse, used);
            if (used > slotsPerWorker) {
                m_fleet.checker.report("worker " + worker->vm().id.value() + " has " + std::to_string(used) + " grants in use");
            }
        }
    }

    MatrixFleet &m_fleet;
    std::mt19937_64 m_random;
    std::vector<PendingGrant> m_pendingGrants;
    std::vector<Use> m_uses;
};

struct GrantFault {
    std::string name;
    std::function<void(MatrixFleet &, SimulatedCallers &)> inject;
};

void restart(MatrixFleet &fleet, SimulatedCallers &callers, std::size_t daemon)
{
    fleet.kill(daemon);
    callers.daemonDied(daemon);
    fleet.start(daemon);
}

/// Daemon 1 is the only daemon of domain b, so it is the preferred owner of the shards there. Worker 1 is in that domain, too.
std::vector<GrantFault> grantFaults()
{
    return {
        {"none", [](MatrixFleet &, SimulatedCallers &) {}},
        {"owner killed",
         [](MatrixFleet &f, SimulatedCallers &c) {
             f.kill(1);
             c.daemonDied(1);
         }},
        {"one restarts", [](MatrixFleet &f, SimulatedCallers &c) { restart(f, c, 0); }},
        {"all restart",
         [](MatrixFleet &f, SimulatedCallers &c) {
             for (std::size_t i = 0; i < f.daemonCount(); ++i) {
                 restart(f, c, i);
             }
         }},
        {"owner paused", [](MatrixFleet &f, SimulatedCallers &) { f.pause(1, Duration(12000)); }},
        {"holder paused", [](MatrixFleet &f, SimulatedCallers &) { f.pause(2, Duration(3000)); }},
        {"domains cut", [](MatrixFleet &f, SimulatedCallers &) { f.cutBothWays("a", "b"); }},
        {"domain b cut from store", [](MatrixFleet &f, SimulatedCallers &) { f.cutBothWays("b", "store"); }},
        {"replies lost", [](MatrixFleet &f, SimulatedCallers &) { f.storeLosesReplies = true; }},
        {"messages late and repeated",
         [](MatrixFleet &f, SimulatedCallers &) {
             f.duplicateChance = 0.3;
             f.peerJitter = Duration(400);
         }},
        {"worker leaves", [](MatrixFleet &f, SimulatedCallers &) { f.markLeaving(1); }},
        {"worker leaves, owner cut from store",
         [](MatrixFleet &f, SimulatedCallers &) {
             f.cutBothWays("b", "store");
             f.markLeaving(1);
         }},
    };
}

} // namespace

TEST_GROUP(GrantMatrix){};

// Slots must not be granted twice after a change of owner, and VMs that are about to stop must not get grants.
TEST(GrantMatrix, NoWorkerHasMoreGrantsInUseThanSlots)
{
    std::string failures;
    std::size_t runs = 0;
    std::size_t granted = 0;
    std::int64_t maxInUse = 0;
    for (const GrantFault &fault : grantFaults()) {
        for (std::size_t i = 0; i < seedsPerFault; ++i) {
            FleetOptions options;
            options.seed = seedFromEnvironment() * 1000 + i;
            MatrixFleet fleet(options);
            applyTablesAndSettle(fleet, 100);
            SimulatedCallers callers(fleet, options.seed);
            callers.run(Duration(4000 + 700 * static_cast<std::int64_t>(i)));
            fault.inject(fleet, callers);
            callers.run(Duration(16000));
            healEverything(fleet);
            callers.run(Duration(4000));
            ++runs;
            granted += callers.granted;
            maxInUse = std::max(maxInUse, callers.maxInUse);
            if (callers.granted == 0) {
                fleet.checker.report("no grant was given");
            }
            if (!fleet.checker.violations.empty()) {
                failures += "\n  [" + fault.name + "] " + fleet.checker.violations.front() + reproductionCommand("GrantMatrix", options.seed);
            }
        }
    }
    std::printf("grants: %zu runs, %zu grants, at most %lld in use on one worker\n", runs, granted, static_cast<long long>(maxInUse));
    STRCMP_EQUAL("", failures.c_str());
    CHECK_TRUE_TEXT(maxInUse == slotsPerWorker,
                    ("no run used all slots of a worker" + reproductionCommand("GrantMatrix", seedFromEnvironment() * 1000)).c_str());
}

// A non-idempotent request must not be sent by two daemons. Both would send it if one reads the row of the key back after a lost or
// late reply, or after a restart, and takes the claim of the other for its own.
TEST(GrantMatrix, OneKeyIsClaimedAtMostOnce)
{
    constexpr std::size_t runCount = 10;
    constexpr std::size_t keys = 6;
    std::string failures;
    std::size_t claimed = 0;
    for (std::size_t run = 0; run < runCount; ++run) {
        FleetOptions options;
        options.seed = seedFromEnvironment() * 1000 + run;
        MatrixFleet fleet(options);
        std::mt19937_64 random(options.seed);
        applyTablesAndSettle(fleet, 100);
        for (std::size_t key = 0; key < keys; ++key) {
            const std::string name = "key" + std::to_string(key);
            std::size_t successfulClaims = 0;
            std::map<std::size_t, OpId> pendingClaims;
            const auto collect = [&] {
                for (auto it = pendingClaims.begin(); it != pendingClaims.end();) {
                    const auto answer = fleet.answerOf(it->first, it->second);
                    const ClaimState *state = answer ? std::get_if<ClaimState>(&answer->body) : nullptr;
                    successfulClaims += state != nullptr && state->acquired ? 1 : 0;
                    it = answer ? pendingClaims.erase(it) : std::next(it);
                }
            };
            for (int attempt = 0; attempt < 40; ++attempt) {
                for (std::size_t daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
                    if (fleet.isUp(daemon) && pendingClaims.count(daemon) == 0) {
                        pendingClaims[daemon] = fleet.core(daemon).claim(TeamId("red"), name, "print", fleet.now());
                    }
                }
                fleet.run(Duration(static_cast<std::int64_t>(1 + random() % 200)));
                collect();
                if (attempt % 10 == 3) {
                    fleet.storeLosesReplies = random() % 2 == 0;
                    fleet.storeDelay = Duration(random() % 2 == 0 ? 2 : 600);
                }
                if (attempt % 10 == 7) {
                    const std::size_t daemon = random() % fleet.daemonCount();
                    fleet.kill(daemon);
                    pendingClaims.erase(daemon);
                    fleet.start(daemon);
                }
            }
            healEverything(fleet);
            fleet.run(Duration(6000));
            collect();
            claimed += successfulClaims;
            if (successfulClaims > 1) {
                failures += "\n  " + name + " was claimed " + std::to_string(successfulClaims) + " times" + reproductionCommand("GrantMatrix", options.seed);
            }
        }
    }
    std::printf("claims: %zu runs, %zu keys, %zu claimed\n", runCount, runCount * keys, claimed);
    CHECK_TRUE_TEXT(claimed > 0, ("no key was claimed" + reproductionCommand("GrantMatrix", seedFromEnvironment() * 1000)).c_str());
    STRCMP_EQUAL("", failures.c_str());
}
