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
    FakeWorkerServers(EventLoop &loop, GuaranteeChecker &checker, FakeStoreServer &store, int count, const std::function<std::string()> &freeAddress);

    /// Ends runs, expires leases and writes the registry. Must be called every few milliseconds.
    void tick();
    void restart(std::size_t worker);
    void setFailing(std::size_t worker, bool failing);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] FaultProxy &link(std::size_t worker);
    [[nodiscard]] std::size_t running() const;
    /// Returns the workers that the policy service allows for a step, with their tickets.
    [[nodiscard]] nlohmann::json advise(const std::string &step, const nlohmann::json &asked) const;

    static constexpr Duration longestLease{4000};
    static constexpr std::int64_t workerMillicores = 4000;

private:
    struct Server {
        FakeCellWorker worker;
        double clockRate = 1; ///< Relative to the real clock; at least 0.98.
        std::unique_ptr<HttpFrontend> http;
        std::unique_ptr<FaultProxy> link;
        std::vector<std::pair<HttpCallPtr, TimePoint>> heldRenewals; ///< Renewals held open until a run ends, with their deadlines.
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
    void endRuns();
    void endGangs();
    void writeRegistry();

    EventLoop &m_loop;
    GuaranteeChecker &m_checker;
    FakeStoreServer &m_store;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<std::pair<StepRef, RunNumber>, TimePoint> m_gangCompleteSince; ///< Since when each gang has been complete.
    TimePoint m_nextRegistryWrite;
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
