// A full cell whose runs do not end, and steps that wait for room. Workers and the policy service answer at once.
#include "backlogrun.h"

#include "cell/cellscheduler.h"
#include "measures.h"

#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <string>

namespace KingCupLadder {

namespace {

constexpr std::int64_t workerMilliCores = 16000;
constexpr std::int64_t workerMebiBytes = 32768;
constexpr Duration roundInterval{4};
constexpr Duration warmUp{2000};
constexpr Duration measured{2000};
constexpr Duration endlessEstimate{600000};
constexpr int daemonCount = 40;
constexpr int gangInterval = 4; // Every fourth waiting step is a gang.
constexpr int gangSize = 20;

Resources resources(std::int64_t milliCores, std::int64_t mebiBytes)
{
    return Resources{MilliCores(milliCores), MebiBytes(mebiBytes), Accelerators(0), Slots(0)};
}

class BacklogCell
{
public:
    explicit BacklogCell(int workers) : m_scheduler(CellSchedulerSettings{})
    {
        auto config = std::make_shared<CellConfig>();
        config->version = ConfigVersion(1);
        config->upstreams.push_back(CellUpstream{UpstreamName("service"), false, false});
        config->workspaces.push_back(Workspace{WorkspaceId("team"), {"key"}, 1e9, Resources{}});
        for (const char *name : {"filler", "waiting"}) {
            CellRoute route;
            route.name = RouteName(name);
            route.upstream = UpstreamName("service");
            route.stretch = 1e6; // Nothing is late, so that the order of the steps does not change while they wait.
            if (name == std::string("waiting")) {
                route.advice = AdviceSettings{20, 0.3, Duration(2500)};
            }
            config->routes.push_back(route);
        }
        config->buildIndexes();
        m_scheduler.setConfig(config, m_now);
        std::vector<DaemonId> daemons;
        daemons.reserve(daemonCount);
        for (int i = 0; i < daemonCount; ++i) {
            daemons.emplace_back("d" + std::to_string(i));
        }
        m_scheduler.setAdviceDaemons(daemons);
        m_scheduler.beginEpoch(Epoch(1), m_now);
        m_scheduler.finishLoading(m_now);
        for (int i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.id = WorkerId("w" + std::to_string(i));
            info.address = "127.0.0.1:" + std::to_string(i + 1);
            info.upstream = UpstreamName("service");
            info.domain = FailureDomain("d" + std::to_string(i % 3));
            info.capacity = resources(workerMilliCores, workerMebiBytes);
            info.incarnation = WorkerIncarnation(1);
            m_workers.push_back(info);
        }
    }

    void submit(const std::string &route, const std::string &id, int tasks, std::int64_t milliCores, bool gang)
    {
        CellJob job;
        job.id = JobId(id);
        job.route = RouteName(route);
        job.workspace = WorkspaceId("team");
        StepSpec step;
        step.count = tasks;
        step.demand = resources(milliCores, 100);
        step.estimate = endlessEstimate;
        step.gang = gang;
        job.steps.push_back(step);
        m_scheduler.onJobStored(job, time());
    }

    /// Runs rounds for @p span and returns the time that each took.
    Samples run(Duration span)
    {
        Samples micros;
        const TimePoint until = m_now + span;
        while (m_now < until) {
            m_now += roundInterval;
            if (m_nextRegistry <= m_now) {
                m_nextRegistry = m_now + Duration(600);
                for (WorkerInfo &info : m_workers) {
                    ++info.sequence;
                }
                m_scheduler.onRegistry(m_workers, time());
            }
            m_scheduler.onLeadershipRenewed(m_now);
            const std::clock_t begin = std::clock(); // CPU time, so that other load on the machine does not count.
            const CellOrders orders = m_scheduler.tick(time());
            micros.add(static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC);
            answer(orders);
        }
        return micros;
    }

private:
    [[nodiscard]] CellTime time() const
    {
        return CellTime{m_now, m_now.time_since_epoch().count()};
    }

    void answer(const CellOrders &orders)
    {
        const WorkerClockMs clock = m_now.time_since_epoch().count();
        for (const StartOrder &order : orders.starts) {
            m_running[order.worker].push_back(RunningEntry{order.task, order.run, {}, 0, 0});
            m_scheduler.onStartAnswer(order, OrderAnswer{OrderOutcome::Done, clock}, time());
        }
        for (const HoldOrder &order : orders.holds) {
            HoldReply reply;
            reply.incarnation = order.incarnation;
            reply.clock = clock;
            reply.running = m_running[order.worker];
            m_scheduler.onHoldAnswer(order, &reply, m_now, time());
        }
        for (const AdviceCall &call : orders.advice) {
            AdviceAnswer advice;
            advice.answered = true;
            advice.validity = Duration(2500);
            for (std::size_t i = 0; i < call.workers.size(); i += 2) {
                advice.allowed.emplace_back(call.workers[i], "ticket");
            }
            m_scheduler.onAdvice(call.id, advice, m_now, m_now);
        }
        if (!orders.workersToStore.empty()) {
            m_scheduler.onWorkersStored(orders.workersToStore, true);
        }
    }

    CellScheduler m_scheduler;
    TimePoint m_now{Duration(1000000)};
    TimePoint m_nextRegistry;
    std::vector<WorkerInfo> m_workers;
    std::map<WorkerId, std::vector<RunningEntry>> m_running;
};

} // namespace

void printBacklogRuns(const BacklogRunSettings &settings)
{
    std::printf("%8s %8s %8s %9s %9s %9s\n", "workers", "waiting", "rounds", "p50 us", "p90 us", "p99 us");
    for (const int workers : settings.workers) {
        for (const int steps : settings.waitingSteps) {
            BacklogCell cell(workers);
            for (int i = 0; i < workers; ++i) {
                cell.submit("filler", "filler" + std::to_string(i), 6, workerMilliCores / 6, false);
            }
            (void)cell.run(warmUp);
            for (int i = 0; i < steps; ++i) {
                const bool gang = i % gangInterval == 0;
                cell.submit("waiting", "waiting" + std::to_string(i), gang ? gangSize : 3, 2500, gang);
            }
            (void)cell.run(warmUp);
            const Samples micros = cell.run(measured);
            std::printf(
                "%8d %8d %8zu %9.0f %9.0f %9.0f\n", workers, steps, micros.count(), micros.percentile(0.5), micros.percentile(0.9), micros.percentile(0.99));
            std::fflush(stdout);
        }
    }
}

} // namespace KingCupLadder
