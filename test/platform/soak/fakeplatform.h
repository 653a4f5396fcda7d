// Fakes of the platform services of a cell: the store, workers and the policy service, served over HTTP in this process. They
// implement the platform's protocol and report starts, ends and acknowledgements to GuaranteeChecker.
#pragma once

#include "cell/celljob.h"
#include "cell/fakecell.h"
#include "daemon/eventloop.h"
#include "daemon/httpfrontend.h"
#include "faultproxy.h"
#include "guaranteechecker.h"
#include "node/memorytablestore.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace KingCupLadder::SoakTest {

/// The store over HTTP. Listens on one port; each daemon reaches it through its own proxy.
class FakeStoreServer
{
public:
    FakeStoreServer(EventLoop &loop, const std::string &address);

    MemoryTableStore rows;
    bool refusesCalls = false; ///< Answers 503 without executing the call.
    Duration extraDelay{0};

private:
    void serve(const HttpCallPtr &call);
    void execute(const HttpCallPtr &call);

    EventLoop &m_loop;
    DelayedCalls m_delayedCalls;
    std::unique_ptr<HttpFrontend> m_server;
};

/// All workers of the cell, each with its own address behind a proxy.
class FakeWorkerServers
{
public:
    FakeWorkerServers(
        EventLoop &loop, GuaranteeChecker &checker, FakeStoreServer &store, int count, const std::function<std::string()> &freeAddress, std::uint64_t seed);

    std::function<bool(Epoch)> isInTouch; ///< Whether the leader of an epoch has not been disturbed lately.
    std::function<bool(const std::string &address)> isLinkCalm; ///< Whether the link to a worker has not been disturbed lately.
    std::function<void(const std::string &text)> onCrash; ///< Called for each crash under a deadly task.

    /// Ends runs, expires leases and writes the registry. Must be called every few milliseconds.
    void tick();
    void restart(std::size_t worker);
    void setFailing(std::size_t worker, bool failing);
    /// Sets the share of its first capacity that a worker has from now on, in percent. Its next registry write shows it.
    void setCapacity(std::size_t worker, int percent);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] FaultProxy &link(std::size_t worker);
    [[nodiscard]] std::size_t running() const;
    /// Returns the workers that the policy service allows for a step, with their tickets.
    [[nodiscard]] nlohmann::json advise(const std::string &step, const nlohmann::json &asked) const;

    static constexpr Duration longestLease{4000};
    static constexpr std::int64_t workerMillicores = 4000;
    static constexpr std::int64_t workerMemory = 16000;

private:
    struct Server {
        FakeCellWorker worker;
        double clockRate = 1; ///< Relative to the real clock; at least 0.98.
        std::unique_ptr<HttpFrontend> http;
        std::unique_ptr<FaultProxy> link;
        std::vector<std::pair<HttpCallPtr, TimePoint>> heldRenewals; ///< Renewals held open until a run ends, with their deadlines.
        std::string machine; ///< Stays the same for all lives of the worker.
        TimePoint crashedAt; ///< Zero unless the worker is down after a crash. While it is down, its link refuses connections.
        TimePoint backAt; ///< End of the current or last time down.
    };

    [[nodiscard]] WorkerClockMs clock(const Server &server) const;
    void serve(Server &server, const HttpCallPtr &call);
    void start(Server &server, const HttpCallPtr &call, const nlohmann::json &body);
    void stop(Server &server, const HttpCallPtr &call, const nlohmann::json &body);
    void hold(Server &server, const HttpCallPtr &call, const nlohmann::json &body);
    void answerHold(Server &server, const HttpCallPtr &call);
    void extendLease(Server &server, WorkerClockMs deadline);
    void endRun(Server &server, const TaskRef &task, RunEnd runEnd);
    void refuse(Server &server, const HttpCallPtr &call, const char *reason);
    void answer(Server &server, const HttpCallPtr &call, nlohmann::json body, int status = httpOk);
    void crash(std::size_t worker, const TaskRef &task);
    void endCrash(std::size_t worker);
    void tickCrashes();
    void endRuns();
    void endGangs();
    void writeRegistry();

    EventLoop &m_loop;
    GuaranteeChecker &m_checker;
    FakeStoreServer &m_store;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<std::pair<StepRef, RunNumber>, TimePoint> m_gangCompleteSince; ///< Since when each gang has been complete.
    TimePoint m_nextRegistryWrite;
    std::mt19937_64 m_random; ///< Decides how crashed workers come back.
    int m_lastLife = 0; ///< Part of the new id of a worker that comes back after a crash.
};

/// The policy service.
class FakePolicyServer
{
public:
    FakePolicyServer(EventLoop &loop, const std::string &address, const FakeWorkerServers &workers);

private:
    DelayedCalls m_delayedCalls;
    std::unique_ptr<HttpFrontend> m_server;
};

} // namespace KingCupLadder::SoakTest
