// Implementation of the fakes.
#include "fakeplatform.h"

#include "httpgateways.h"
#include "httptablestore.h"
#include "jsonvalue.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace KingCupLadder::SoakTest {

namespace {

constexpr Duration heartbeat = soakHeartbeat;
constexpr Duration crashDelay{10}; // From the start of a deadly task to the crash.
constexpr Duration minTimeDown{3000};
constexpr Duration maxTimeDown{3600};
constexpr Duration policyDelay{10};
constexpr std::size_t maxReportedEnds = 500;
constexpr int httpPreconditionFailed = 412;
constexpr int httpMisdirectedRequest = 421;
constexpr Duration feedInterval{50}; // How often a waiting feed request polls for changes.

std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> values;
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string entry = query.substr(begin, end - begin);
        const std::size_t equals = entry.find('=');
        if (equals != std::string::npos) {
            values[entry.substr(0, equals)] = percentDecode(entry.substr(equals + 1)).value_or(std::string());
        }
        begin = end + 1;
    }
    return values;
}

RowKey decodeKey(const nlohmann::json &row)
{
    return RowKey{textOf(member(row, "table")), textOf(member(row, "part")), textOf(member(row, "key"))};
}

nlohmann::json rowJson(const TableRow &row)
{
    nlohmann::json json = {{"table", row.key.table}, {"part", row.key.partition}, {"key", row.key.key}, {"ver", row.version.value()}};
    json["value"] = encodeBase64(row.value);
    if (row.removed) {
        json["deleted"] = true;
    }
    return json;
}

nlohmann::json answerJson(const StoreAnswer &answer)
{
    nlohmann::json json = {{"ver", answer.version.value()}, {"rows", nlohmann::json::array()}};
    for (const TableRow &row : answer.rows) {
        json["rows"].push_back(rowJson(row));
    }
    if (answer.truncated) {
        json["truncated"] = true;
    }
    return json;
}

std::int64_t queryNumber(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10);
}

std::string runEndText(RunEnd end)
{
    switch (end) {
    case RunEnd::Succeeded:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangBroken:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    }
    return "stopped";
}

std::unique_ptr<HttpFrontend> listenAt(EventLoop &loop, const std::string &address, HttpHandler handler)
{
    HttpFrontendSettings settings;
    settings.address = address;
    auto frontend = HttpFrontend::create(loop, settings, std::move(handler));
    if (!frontend) {
        throw std::runtime_error(frontend.reason().text()); // Another process has taken the port in the meantime.
    }
    return std::move(frontend).value();
}

} // namespace

FakeStoreServer::FakeStoreServer(EventLoop &loop, const std::string &address)
    : rows(loop), m_loop(loop), m_delayedCalls(loop), m_server(listenAt(loop, address, [this](const HttpCallPtr &call) { serve(call); }))
{
}

void FakeStoreServer::serve(const HttpCallPtr &call)
{
    if (refusesCalls) {
        call->respond(HttpResponse{httpUnavailable, {}, {}});
    } else if (extraDelay > Duration(0)) {
        m_delayedCalls.after(extraDelay, [this, call] { execute(call); });
    } else {
        execute(call);
    }
}

void FakeStoreServer::execute(const HttpCallPtr &call)
{
    const auto respond = [call](const StoreAnswer &answer) {
        const int status = answer.outcome == StoreOutcome::Conflict ? httpPreconditionFailed : httpOk;
        call->respond(jsonResponse(status, answerJson(answer).dump()));
    };
    const HttpRequest &request = call->request();
    const auto query = parseQuery(request.query);
    const auto text = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (request.path == "/rows-tx") {
        const nlohmann::json body = parseJson(request.body).value_or(nlohmann::json());
        Transaction transaction;
        for (const nlohmann::json &condition : member(body, "expected_revision")) {
            transaction.conditions.push_back(RowCondition{decodeKey(condition), RowVersion(static_cast<std::uint64_t>(integerOf(member(condition, "ver"))))});
        }
        for (const nlohmann::json &write : member(body, "writes")) {
            transaction.writes.push_back(TableWrite{decodeKey(write), decodeBase64(textOf(member(write, "value"))).value_or(std::string())});
        }
        for (const nlohmann::json &removal : member(body, "remove")) {
            transaction.removals.push_back(decodeKey(removal));
        }
        rows.transact(transaction, Duration(0), respond);
    } else if (request.path == "/rows-get") {
        const auto limit = static_cast<int>(queryNumber(query, "limit"));
        rows.read(RangeRead{text("table"), text("part"), text("from"), text("target"), limit > 0 ? limit : 500}, Duration(0), respond);
    } else {
        const TimePoint until = m_loop.now() + Duration(queryNumber(query, "wait_ms"));
        const FeedRead feed{text("table"), RowVersion(static_cast<std::uint64_t>(queryNumber(query, "after"))), Duration(0)};
        auto poll = std::make_shared<std::function<void()>>();
        // The pending call keeps the function alive. If it captured a shared pointer to itself, it would never be freed.
        *poll = [this, feed, until, respond, weak = std::weak_ptr<std::function<void()>>(poll)] {
            rows.feed(feed, Duration(0), [this, until, respond, self = weak.lock()](const StoreAnswer &answer) {
                if (answer.rows.empty() && m_loop.now() < until) {
                    m_delayedCalls.after(feedInterval, [self] { (*self)(); });
                } else {
                    respond(answer);
                }
            });
        };
        (*poll)();
    }
}

FakeWorkerServers::FakeWorkerServers(
    EventLoop &loop, GuaranteeChecker &checker, FakeStoreServer &store, int count, const std::function<std::string()> &freeAddress, std::uint64_t seed)
    : m_loop(loop), m_checker(checker), m_store(store), m_random(seed)
{
    for (int i = 0; i < count; ++i) {
        auto server = std::make_unique<Server>();
        const std::string own = freeAddress();
        Server *added = server.get();
        server->http = listenAt(loop, own, [this, added](const HttpCallPtr &call) { serve(*added, call); });
        server->link = std::make_unique<FaultProxy>(loop, freeAddress(), own);
        server->clockRate = i % 3 == 0 ? 0.98 : 1.0; // 0.98 is the limit that LeaseSettings::maxClockDrift allows.
        WorkerInfo &info = server->worker.info;
        info.id = WorkerId("w" + std::to_string(i));
        info.address = server->link->address();
        info.domain = FailureDomain(i % 2 == 0 ? "a" : "b");
        info.capacity = cellResources(workerMillicores, workerMemory);
        server->machine = "m-" + std::to_string(i);
        m_checker.recordCapacity(info.id, info.capacity);
        info.incarnation = WorkerIncarnation(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1)));
        info.sequence = 1;
        m_servers.push_back(std::move(server));
    }
}

std::size_t FakeWorkerServers::size() const
{
    return m_servers.size();
}

FaultProxy &FakeWorkerServers::link(std::size_t worker)
{
    return *m_servers.at(worker)->link;
}

std::size_t FakeWorkerServers::running() const
{
    std::size_t sum = 0;
    for (const auto &server : m_servers) {
        sum += server->worker.running.size();
    }
    return sum;
}

void FakeWorkerServers::setFailing(std::size_t worker, bool failing)
{
    m_servers.at(worker)->worker.failsAll = failing;
}

void FakeWorkerServers::setCapacity(std::size_t worker, int percent)
{
    WorkerInfo &info = m_servers.at(worker)->worker.info;
    info.capacity = cellResources(workerMillicores * percent / 100, workerMemory * percent / 100);
    m_checker.recordCapacity(info.id, info.capacity);
}

void FakeWorkerServers::crash(std::size_t worker, const TaskRef &task)
{
    Server &server = *m_servers.at(worker);
    for (const auto &[running, run] : server.worker.running) {
        if (m_checker.isDeadly(running)) {
            m_checker.recordCrash(running); // Also a deadly task whose own delay has not passed loses its worker.
        }
    }
    onCrash("worker " + server.worker.info.id.value() + " crashes under " + task.text());
    restart(worker);
    server.crashedAt = m_loop.now();
    const auto spread = static_cast<std::uint64_t>((maxTimeDown - minTimeDown).count());
    server.backAt = m_loop.now() + minTimeDown + Duration(static_cast<std::int64_t>(m_random() % (spread + 1)));
}

void FakeWorkerServers::endCrash(std::size_t worker)
{
    Server &server = *m_servers.at(worker);
    server.crashedAt = TimePoint();
    server.link->setFault(LinkFault::None);
    if (m_random() % 2 == 0) {
        server.worker.info.id = WorkerId("w" + std::to_string(worker) + "-" + std::to_string(++m_lastLife));
        m_checker.recordCapacity(server.worker.info.id, server.worker.info.capacity);
    }
    restart(worker); // The time of the start is the new incarnation.
}

void FakeWorkerServers::tickCrashes()
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        Server &server = *m_servers[i];
        const auto deadly = std::find_if(server.worker.running.begin(), server.worker.running.end(), [this](const auto &entry) {
            return m_checker.isDeadly(entry.first) && entry.second.started + crashDelay <= m_loop.now();
        });
        if (deadly != server.worker.running.end()) {
            crash(i, TaskRef(deadly->first));
        }
        if (server.crashedAt == TimePoint()) {
            continue;
        }
        if (server.backAt <= m_loop.now()) {
            endCrash(i);
            continue;
        }
        server.link->setFault(LinkFault::Refused); // Set again each time, since another fault of the link may have ended.
        const RowKey row{"servers", {}, server.worker.info.id.value()};
        if (server.crashedAt + 3 * heartbeat <= m_loop.now() && m_store.rows.has(row.table, row.key)) {
            m_store.rows.transact(Transaction{{}, {}, {row}}, Duration(0), [](const StoreAnswer &) {});
        }
    }
}

void FakeWorkerServers::restart(std::size_t worker)
{
    Server &server = *m_servers.at(worker);
    const WorkerIncarnation before = server.worker.info.incarnation;
    server.worker.restart();
    server.worker.leaseEnd = TimePoint();
    const auto unixMs = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1));
    server.worker.info.incarnation = WorkerIncarnation(std::max(unixMs, before.value() + 1));
    server.link->resetAll();
    server.heldRenewals.clear();
}

WorkerClockMs FakeWorkerServers::clock(const Server &server) const
{
    return static_cast<WorkerClockMs>(static_cast<double>(m_loop.now().time_since_epoch().count()) * server.clockRate);
}

nlohmann::json FakeWorkerServers::advise(const std::string &step, const nlohmann::json &asked) const
{
    nlohmann::json good = nlohmann::json::array();
    for (const nlohmann::json &id : asked) {
        // Allows about 60 % of the workers, always the same ones for a step.
        if (std::hash<std::string>()(step + textOf(id)) % 100 < 60) {
            good.push_back({textOf(id), "ticket for " + step});
        }
    }
    return good;
}

void FakeWorkerServers::answer(Server &server, const HttpCallPtr &call, nlohmann::json body, int status)
{
    body["clock_ms"] = clock(server);
    body["born"] = server.worker.info.incarnation.value();
    call->respond(jsonResponse(status, body.dump()));
}

void FakeWorkerServers::refuse(Server &server, const HttpCallPtr &call, const char *reason)
{
    answer(server, call, {{"reason", reason}}, httpConflict);
}

void FakeWorkerServers::serve(Server &server, const HttpCallPtr &call)
{
    if (server.crashedAt != TimePoint()) {
        server.link->resetAll();
        return;
    }
    const nlohmann::json body = parseJson(call->request().body).value_or(nlohmann::json());
    const std::string instance = headerValue(call->request().headers, "X-Expect-Instance");
    const Epoch fencingToken(static_cast<std::uint64_t>(integerOf(member(body, "fencing_token"))));
    if (!instance.empty() && instance != server.worker.info.id.value()) {
        answer(server, call, nlohmann::json::object(), httpMisdirectedRequest);
    } else if (fencingToken < server.worker.highestFencingToken) {
        refuse(server, call, "fence");
    } else {
        server.worker.highestFencingToken = fencingToken;
        const std::string &path = call->request().path;
        path == "/run-start" ? start(server, call, body) : path == "/run-stop" ? stop(server, call, body) : hold(server, call, body);
    }
}

void FakeWorkerServers::extendLease(Server &server, WorkerClockMs deadline)
{
    const auto left = std::min<double>(static_cast<double>(deadline - clock(server)) / server.clockRate, static_cast<double>(longestLease.count()));
    server.worker.leaseEnd = std::max(server.worker.leaseEnd, m_loop.now() + Duration(static_cast<std::int64_t>(left)));
}

void FakeWorkerServers::start(Server &server, const HttpCallPtr &call, const nlohmann::json &body)
{
    FakeCellWorker &worker = server.worker;
    StartOrder order;
    const auto task = decodeTaskName(textOf(member(body, "task")));
    if (!task) {
        m_checker.reportViolation("a start order contains no valid task: " + call->request().body);
        return;
    }
    order.task = *task;
    order.run = RunNumber(static_cast<std::uint64_t>(integerOf(member(body, "run"))));
    order.payload = textOf(member(body, "spec"));
    order.deadline = integerOf(member(body, "deadline_ms"));
    const auto present = worker.running.find(order.task);
    const auto old = worker.highestRun.find(order.task);
    if (order.deadline <= clock(server)) {
        refuse(server, call, "late");
        return;
    }
    extendLease(server, order.deadline);
    if (present != worker.running.end() && present->second.number == order.run) {
        answer(server, call, nlohmann::json::object());
        return;
    }
    if (present != worker.running.end() || (old != worker.highestRun.end() && !(old->second < order.run))) {
        refuse(server, call, "old");
        return;
    }
    const std::string step = order.task.step.job.value() + "." + std::to_string(order.task.step.occurrence) + "." + std::to_string(order.task.step.step);
    if (textOf(member(body, "ticket")) != "ticket for " + step) {
        m_checker.reportViolation(order.task.text() + " started without its ticket");
    }
    for (const auto &other : m_servers) {
        if (other->worker.running.count(order.task) > 0) {
            m_checker.reportViolation(order.task.text() + " runs on " + other->worker.info.id.value() + " and on " + worker.info.id.value());
        }
    }
    const bool isLate = !isLinkCalm(worker.info.address);
    const bool inTouch = !isLate && isInTouch(worker.highestFencingToken);
    m_checker.recordStart(worker.info.id, order, inTouch);
    m_checker.checkEvacuation(worker.info.domain, order.task, inTouch);
    const StepSpec *spec = m_checker.stepOf(order.task);
    const Duration length = spec != nullptr ? spec->estimate : Duration(100);
    worker.running[order.task] =
        FakeCellRun{order.run, m_loop.now() + length, order, spec != nullptr && spec->gang, m_loop.now(), Duration(0), 0, m_loop.now()};
    Resources used;
    for (const auto &[running, run] : worker.running) {
        used += m_checker.stepOf(running) != nullptr ? m_checker.stepOf(running)->demand : Resources{};
    }
    m_checker.checkCapacity(worker.info.id, used, isLate, inTouch);
    answer(server, call, nlohmann::json::object());
}

void FakeWorkerServers::stop(Server &server, const HttpCallPtr &call, const nlohmann::json &body)
{
    const auto task = decodeTaskName(textOf(member(body, "task")));
    const RunNumber run(static_cast<std::uint64_t>(integerOf(member(body, "run"))));
    if (task) {
        const auto present = server.worker.running.find(*task);
        if (present != server.worker.running.end() && present->second.number == run) {
            endRun(server, *task, RunEnd::Stopped);
        }
        RunNumber &highest = server.worker.highestRun[*task];
        highest = highest < run ? run : highest;
    }
    answer(server, call, nlohmann::json::object());
}

void FakeWorkerServers::hold(Server &server, const HttpCallPtr &call, const nlohmann::json &body)
{
    FakeCellWorker &worker = server.worker;
    const EndNumber acknowledged(static_cast<std::uint64_t>(integerOf(member(body, "ack_cursor"))));
    if (worker.acknowledged < acknowledged) {
        for (const EndedEntry &end : worker.ended) {
            if (end.number <= acknowledged) {
                m_checker.recordAcknowledged(end.task, end.end);
            }
        }
        worker.acknowledged = acknowledged;
        worker.ended.erase(std::remove_if(worker.ended.begin(), worker.ended.end(), [&](const EndedEntry &end) { return end.number <= acknowledged; }),
                           worker.ended.end());
    }
    const std::int64_t deadline = integerOf(member(body, "deadline_ms"));
    if (deadline > 0) {
        extendLease(server, deadline);
    }
    const Duration wait(integerOf(member(body, "wait_ms")));
    if (wait > Duration(0) && worker.ended.empty()) {
        server.heldRenewals.emplace_back(call, m_loop.now() + wait);
    } else {
        answerHold(server, call);
    }
}

void FakeWorkerServers::answerHold(Server &server, const HttpCallPtr &call)
{
    nlohmann::json body = {{"running", nlohmann::json::array()}, {"finished", nlohmann::json::array()}};
    for (const auto &[task, run] : server.worker.running) {
        body["running"].push_back({task.text(), run.number.value(), "", 50, 0});
    }
    for (std::size_t i = 0; i < server.worker.ended.size() && i < maxReportedEnds; ++i) {
        const EndedEntry &end = server.worker.ended[i];
        body["finished"].push_back({end.number.value(), end.task.text(), end.run.value(), runEndText(end.end), ""});
    }
    answer(server, call, std::move(body));
}

void FakeWorkerServers::endRun(Server &server, const TaskRef &task, RunEnd runEnd)
{
    m_checker.recordEnd(task, runEnd);
    server.worker.end(task, runEnd);
}

void FakeWorkerServers::endRuns()
{
    for (const auto &server : m_servers) {
        FakeCellWorker &worker = server->worker;
        const bool isLeaseExpired = worker.leaseEnd < m_loop.now();
        std::vector<std::pair<TaskRef, RunEnd>> ends;
        for (const auto &[task, run] : worker.running) {
            // A worker ends all of its runs when its lease expires.
            if (isLeaseExpired) {
                ends.emplace_back(task, RunEnd::LeaseExpired);
            } else if (worker.failsAll) {
                ends.emplace_back(task, RunEnd::Failed);
            } else if (!run.gang && run.ends <= m_loop.now()) {
                ends.emplace_back(task, RunEnd::Succeeded);
            }
        }
        for (const auto &[task, runEnd] : ends) {
            endRun(*server, task, runEnd);
        }
    }
}

void FakeWorkerServers::endGangs()
{
    // A gang makes progress while all of its members run; when one ends, the others end as broken.
    std::map<std::pair<StepRef, RunNumber>, std::vector<std::pair<Server *, TaskRef>>> present;
    for (const auto &server : m_servers) {
        for (const auto &[task, run] : server->worker.running) {
            if (run.gang) {
                present[{task.step, run.number}].emplace_back(server.get(), task);
            }
        }
    }
    for (const auto &[gang, members] : present) {
        const StepSpec &step = *m_checker.stepOf(members.front().second);
        const bool complete = static_cast<int>(members.size()) == step.count;
        const auto since = m_gangCompleteSince.find(gang);
        if (complete && since == m_gangCompleteSince.end()) {
            m_gangCompleteSince[gang] = m_loop.now();
            continue;
        }
        const bool done = complete && m_loop.now() - since->second >= step.estimate;
        if (done || (!complete && since != m_gangCompleteSince.end())) {
            for (const auto &[server, task] : members) {
                endRun(*server, task, done ? RunEnd::Succeeded : RunEnd::GangBroken);
            }
        }
    }
}

void FakeWorkerServers::writeRegistry()
{
    for (const auto &server : m_servers) {
        if (server->crashedAt != TimePoint()) {
            continue;
        }
        WorkerInfo &info = server->worker.info;
        ++info.sequence;
        const nlohmann::json row = {{"backend", "desk"},
                                    {"address", info.address},
                                    {"zone", info.domain.value()},
                                    {"version", "1"},
                                    {"slots", 8},
                                    {"state", "ready"},
                                    {"sequence", info.sequence},
                                    {"born", info.incarnation.value()},
                                    {"labels", {"a", "r" + info.domain.value()}},
                                    {"machine", server->machine},
                                    {"capacity", {{"cpu", info.capacity.cpu.value()}, {"mem_mb", info.capacity.memory.value()}, {"gpu", 0}}}};
        m_store.rows.put(RowKey{"servers", {}, info.id.value()}, row.dump());
    }
}

void FakeWorkerServers::tick()
{
    tickCrashes();
    endRuns();
    endGangs();
    for (const auto &server : m_servers) {
        auto &heldRenewals = server->heldRenewals;
        const bool hasEnds = !server->worker.ended.empty();
        for (auto entry = heldRenewals.begin(); entry != heldRenewals.end();) {
            if (hasEnds || entry->second <= m_loop.now()) {
                answerHold(*server, entry->first);
                entry = heldRenewals.erase(entry);
            } else {
                ++entry;
            }
        }
    }
    if (m_nextRegistryWrite <= m_loop.now()) {
        m_nextRegistryWrite = m_loop.now() + heartbeat;
        writeRegistry();
    }
}

FakePolicyServer::FakePolicyServer(EventLoop &loop, const std::string &address, const FakeWorkerServers &workers)
    : m_delayedCalls(loop), m_server(listenAt(loop, address, [this, &workers](const HttpCallPtr &call) {
        const nlohmann::json body = parseJson(call->request().body).value_or(nlohmann::json());
        const nlohmann::json answer = {{"good", workers.advise(textOf(member(body, "step")), member(body, "workers"))}, {"validity_ms", 1500}};
        m_delayedCalls.after(policyDelay, [call, answer] { call->respond(jsonResponse(httpOk, answer.dump())); });
    }))
{
}

} // namespace KingCupLadder::SoakTest
