// Stand-ins for what the platform gives a cell: the store, workers and the policy service, served over HTTP in this process. They
// obey the platform's protocol, and note every promise that a start or an answer breaks.
#pragma once

#include "cell/celljob.h"
#include "cell/fakecell.h"
#include "daemon/eventloop.h"
#include "daemon/httpfrontend.h"
#include "faultproxy.h"
#include "node/memorytablestore.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder::SoakTest {

/// What happens to jobs as callers and workers see it, and what must never happen.
class PromiseBook
{
public:
    explicit PromiseBook(EventLoop &loop) : m_loop(loop) { }

    /// A caller is about to send the job.
    void noteSent(const CellJob &job);
    /// The answer to one attempt: @p refused if it said that the job was not admitted.
    void noteAttempt(const JobId &id, bool refused);
    void noteAdmitted(const JobId &id);
    void noteCancelled(const JobId &id);
    /// A caller saw this state in the answer to a request that it sent at @p asked.
    void noteShown(const JobId &id, const std::string &state, TimePoint asked);
    void noteStart(const WorkerId &worker, const StartOrder &order);
    void noteEnd(const TaskRef &task, RunEnd end);
    /// The leader acknowledged the end.
    void noteAcknowledged(const TaskRef &task, RunEnd end);
    void breach(const std::string &text);

    [[nodiscard]] const StepSpec *stepOf(const TaskRef &task) const;
    [[nodiscard]] bool isSucceeded(const JobId &id) const;
    [[nodiscard]] const std::vector<std::string> &breaches() const;
    /// Admitted jobs that are neither cancelled nor shown as ended.
    [[nodiscard]] std::vector<JobId> unfinished() const;
    [[nodiscard]] std::size_t admitted() const;
    [[nodiscard]] std::size_t succeeded() const;
    [[nodiscard]] std::size_t starts() const;

private:
    struct Entry {
        CellJob job;
        bool admitted = false;
        TimePoint admittedAt; ///< When a caller was first told.
        bool mayBeAdmitted = false; ///< An attempt had no clear answer.
        int openAttempts = 0;
        TimePoint cancelled;
        bool ended = false; ///< Shown in a final state.
        TimePoint endShown; ///< When a caller first saw that.
        std::map<int, std::set<int>> done; ///< Tasks with a successful end, by step.
    };

    EventLoop &m_loop;
    std::map<JobId, Entry> m_jobs;
    std::set<TaskRef> m_noted; ///< Tasks whose success was acknowledged.
    std::vector<std::string> m_breaches;
    std::size_t m_starts = 0;
};

/// The store over HTTP. One port; each daemon reaches it through a proxy of its own.
class StoreServer
{
public:
    StoreServer(EventLoop &loop, const std::string &address);

    MemoryTableStore rows;
    bool refuses = false; ///< Answers 503; nothing is done.
    Duration slowBy{0};

private:
    void serve(const HttpCallPtr &call);
    void carryOut(const HttpCallPtr &call);
    void after(Duration pause, std::function<void()> function);

    EventLoop &m_loop;
    std::unique_ptr<HttpFrontend> m_server;
    std::list<std::unique_ptr<EventWatch>> m_timers;
};

/// All workers of the cell, each with an address of its own behind a proxy.
class WorkerServers
{
public:
    WorkerServers(EventLoop &loop, PromiseBook &book, StoreServer &store, int count, const std::function<std::string()> &freeAddress);

    /// Ends runs, expires leases and writes the registry; to be called every few milliseconds.
    void tick();
    void restart(std::size_t worker);
    void setFailing(std::size_t worker, bool failing);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] FaultProxy &link(std::size_t worker);
    [[nodiscard]] std::size_t running() const;
    /// Workers that the policy service allows a step, with their tickets.
    [[nodiscard]] nlohmann::json advise(const std::string &step, const nlohmann::json &asked) const;

    static constexpr Duration longestLease{4000};
    static constexpr std::int64_t workerCores = 4000;

private:
    struct Server {
        FakeCellWorker worker;
        double clockRate = 1; ///< Down to 0.98.
        std::unique_ptr<HttpFrontend> http;
        std::unique_ptr<FaultProxy> link;
        std::vector<std::pair<HttpCallPtr, TimePoint>> waiting; ///< Renewals that wait for an end, and until when.
    };

    [[nodiscard]] WorkerClockMs clock(const Server &server) const;
    void serve(Server &server, const HttpCallPtr &call);
    void start(Server &server, const HttpCallPtr &call, const nlohmann::json &body);
    void stop(Server &server, const HttpCallPtr &call, const nlohmann::json &body);
    void hold(Server &server, const HttpCallPtr &call, const nlohmann::json &body);
    void answerHold(Server &server, const HttpCallPtr &call);
    void extendLease(Server &server, WorkerClockMs deadline);
    void finish(Server &server, const TaskRef &task, RunEnd how);
    void refuse(Server &server, const HttpCallPtr &call, const char *reason);
    void answer(Server &server, const HttpCallPtr &call, nlohmann::json body, int status = httpOk);
    void endRuns();
    void endGangs();
    void writeRegistry();

    EventLoop &m_loop;
    PromiseBook &m_book;
    StoreServer &m_store;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<std::pair<StepRef, RunNumber>, TimePoint> m_gangs; ///< Complete gangs, since when.
    TimePoint m_nextRegistry;
};

/// The policy service.
class PolicyServer
{
public:
    PolicyServer(EventLoop &loop, const std::string &address, const WorkerServers &workers);

private:
    EventLoop &m_loop;
    std::unique_ptr<HttpFrontend> m_server;
    std::list<std::unique_ptr<EventWatch>> m_timers;
};

} // namespace KingCupLadder::SoakTest
