// A small deployment for the scripts of the review: the platform's store, workers, daemons as separate processes, and a record of what was
// sent, answered and run. The stand-ins follow the users' pages; where these are silent, they behave like a sound server.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <vector>

namespace Review {

using Json = nlohmann::json;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

/// Writes lines with the time since the start of the program.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path), m_start(steadyMs()) { }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::ostringstream time;
        time.setf(std::ios::fixed);
        time.precision(3);
        time << static_cast<double>(steadyMs() - m_start) / 1000;
        m_file << time.str() << " s  " << text << std::endl;
        std::cout << time.str() << " s  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

/// The platform's table store. Each daemon reaches it at an address of its own.
class Store
{
public:
    std::atomic<bool> isDown{false}; ///< Answers 503 without executing the call, to daemons and workers.
    std::atomic<int> delayMs{4}; ///< Until an answer.

    [[nodiscard]] std::string addListener(const std::string &ip)
    {
        m_servers.push_back(std::make_unique<HttpServer>(
            ip, [this](const std::string &method, const std::string &target, const HttpMessage &request) { return serve(method, target, request.body); }));
        return m_servers.back()->address();
    }

    /// Writes a row as the operator or a worker does. Returns false while the store is down.
    bool put(const std::string &table, const std::string &key, const std::string &value)
    {
        if (isDown) {
            return false;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        write({table, "", key}, encodeBase64(value), ++m_version);
        m_changed.notify_all();
        return true;
    }

    /// Removes a worker's entry. The store itself does this when the entry has expired, also while it is down.
    void expire(const std::string &table, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        erase({table, "", key}, ++m_version);
        m_changed.notify_all();
    }

    /// Returns the decoded value's Base64 text and version of a row; version 0: no such row.
    [[nodiscard]] std::pair<std::string, std::uint64_t> get(const std::string &table, const std::string &part, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_rows.find({table, part, key});
        return found == m_rows.end() ? std::pair<std::string, std::uint64_t>() : std::make_pair(found->second.value, found->second.version);
    }

    /// Keys of a table, in all parts.
    [[nodiscard]] std::set<std::string> keys(const std::string &table)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::set<std::string> keys;
        for (const auto &[key, row] : m_rows) {
            if (key.table == table) {
                keys.insert(key.key);
            }
        }
        return keys;
    }

private:
    struct Key {
        std::string table;
        std::string part;
        std::string key;
        friend bool operator<(const Key &a, const Key &b) { return std::tie(a.table, a.part, a.key) < std::tie(b.table, b.part, b.key); }
    };
    struct Row {
        std::string value; ///< Base64.
        std::uint64_t version = 0;
    };
    struct Change {
        Key key;
        Row row;
        bool isRemoval = false;
    };

    static Json rowJson(const Key &key, const Row &row)
    {
        return {{"table", key.table}, {"part", key.part}, {"key", key.key}, {"value", row.value}, {"ver", row.version}};
    }

    static Key keyOf(const Json &row) { return {row.value("table", ""), row.value("part", ""), row.value("key", "")}; }

    void write(const Key &key, const std::string &value, std::uint64_t version)
    {
        m_rows[key] = Row{value, version};
        m_changes.push_back({key, m_rows[key], false});
    }

    void erase(const Key &key, std::uint64_t version)
    {
        if (m_rows.erase(key) > 0) {
            m_changes.push_back({key, Row{"", version}, true});
        }
    }

    static std::map<std::string, std::string> parseQuery(const std::string &target)
    {
        std::map<std::string, std::string> query;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t next = target.find('&', at + 1);
            const std::string entry = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            std::string value;
            for (std::size_t i = entry.find('=') + 1; i < entry.size(); ++i) {
                if (entry[i] == '%') {
                    value += static_cast<char>(std::strtol(entry.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += entry[i];
                }
            }
            query[entry.substr(0, entry.find('='))] = value;
            at = next;
        }
        return query;
    }

    HttpAnswer answer(int status, Json body)
    {
        body["ver"] = m_version;
        body["now_ms"] = steadyMs();
        return {status, body.dump()};
    }

    HttpAnswer serve(const std::string &method, const std::string &target, const std::string &body)
    {
        if (isDown) {
            return {503, "{}"};
        }
        sleepMs(delayMs);
        if (isDown) {
            return {503, "{}"};
        }
        auto query = parseQuery(target);
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock<std::mutex> lock(m_mutex);
        if (method == "POST" && path == "/rows-tx") {
            return transact(Json::parse(body, nullptr, false));
        }
        if (path == "/rows-get") {
            return read(query);
        }
        if (path == "/rows-feed") {
            return feed(query, lock);
        }
        return {404, "{}"};
    }

    HttpAnswer transact(const Json &body)
    {
        if (!body.is_object()) {
            return {400, "{}"};
        }
        Json current = Json::array();
        bool holds = true;
        for (const Json &condition : body.value("expected_revision", Json::array())) {
            const auto found = m_rows.find(keyOf(condition));
            const Row row = found == m_rows.end() ? Row() : found->second;
            holds = holds && row.version == condition.value("ver", std::uint64_t(0));
            if (row.version > 0) {
                current.push_back(rowJson(keyOf(condition), row));
            }
        }
        if (!holds) {
            return answer(412, {{"rows", current}});
        }
        ++m_version;
        for (const Json &row : body.value("writes", Json::array())) {
            write(keyOf(row), row.value("value", ""), m_version);
        }
        for (const Json &row : body.value("remove", Json::array())) {
            erase(keyOf(row), m_version);
        }
        m_changed.notify_all();
        return answer(200, Json::object());
    }

    HttpAnswer read(std::map<std::string, std::string> &query)
    {
        const std::size_t limit = query.count("limit") > 0 ? std::min<std::size_t>(std::strtoul(query["limit"].c_str(), nullptr, 10), 500) : 500;
        Json rows = Json::array();
        bool isTruncated = false;
        for (auto row = m_rows.lower_bound({query["table"], query["part"], query["from"]}); row != m_rows.end(); ++row) {
            const Key &key = row->first;
            if (key.table != query["table"] || key.part != query["part"] || (!query["target"].empty() && key.key >= query["target"])) {
                break;
            }
            if (rows.size() >= limit) {
                isTruncated = true;
                break;
            }
            rows.push_back(rowJson(key, row->second));
        }
        return answer(200, {{"rows", rows}, {"truncated", isTruncated}});
    }

    HttpAnswer feed(std::map<std::string, std::string> &query, std::unique_lock<std::mutex> &lock)
    {
        const std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const std::int64_t until = steadyMs() + std::strtoll(query["wait_ms"].c_str(), nullptr, 10);
        Json rows = Json::array();
        for (;;) {
            for (const Change &change : m_changes) {
                if (change.row.version > after && change.key.table == query["table"]) {
                    rows.push_back(rowJson(change.key, change.row));
                    if (change.isRemoval) {
                        rows.back()["deleted"] = true;
                    }
                }
            }
            const std::int64_t left = until - steadyMs();
            if (!rows.empty() || left <= 0 || isDown) {
                break;
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 50)));
        }
        return isDown ? HttpAnswer{503, "{}"} : answer(200, {{"rows", rows}});
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

/// One start of a task on a worker, as the worker saw it.
struct TaskRun {
    std::string task;
    int run = 0;
    std::string worker;
    std::string spec;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0; ///< 0: still running.
    std::string how;
    std::int64_t notedAt = 0; ///< When an ack_cursor reached the end; 0: never.
};

/// All runs of all workers.
class RunLog
{
public:
    std::size_t add(const TaskRun &run)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.push_back(run);
        return m_runs.size() - 1;
    }

    template<typename Function>
    void change(std::size_t index, Function function)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        function(m_runs[index]);
    }

    [[nodiscard]] std::vector<TaskRun> all()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

    /// Checks the rule TWICE and returns what breaks it.
    [[nodiscard]] std::vector<std::string> findDoubleRuns()
    {
        std::vector<std::string> found;
        const std::vector<TaskRun> runs = all();
        const std::int64_t now = steadyMs();
        for (const TaskRun &first : runs) {
            for (const TaskRun &second : runs) {
                if (first.task != second.task || &first == &second || second.startedAt < first.startedAt) {
                    continue;
                }
                const std::int64_t firstEnd = first.endedAt != 0 ? first.endedAt : now;
                if (second.startedAt < firstEnd) {
                    const std::int64_t secondEnd = second.endedAt != 0 ? second.endedAt : now;
                    found.push_back("task " + first.task + " ran on " + first.worker + " and on " + second.worker + " at the same time, for "
                                    + std::to_string(std::min(firstEnd, secondEnd) - second.startedAt) + " ms");
                } else if (first.how == "done" && first.notedAt != 0) {
                    found.push_back("task " + first.task + " was started on " + second.worker + " after it had ended done on " + first.worker);
                }
            }
        }
        return found;
    }

private:
    std::mutex m_mutex;
    std::vector<TaskRun> m_runs;
};

constexpr std::int64_t maxHoldMs = 6000;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t entryExpiryMs = 3 * heartbeatMs;

/// One life of a worker. The text of a job is the duration of its tasks in milliseconds.
class Worker
{
public:
    Worker(Store &store, RunLog &runs, Record &record, const std::string &ip, const std::string &id, int cpu)
        : m_store(store)
        , m_runs(runs)
        , m_record(record)
        , m_id(id)
        , m_cpu(cpu)
        , m_born(unixMs())
        , m_start(steadyMs())
        , m_server(ip, [this](const std::string &, const std::string &target, const HttpMessage &request) { return serve(target, request); })
    {
        writeEntry();
        std::thread([this] {
            for (;;) {
                tick();
                sleepMs(2);
            }
        }).detach();
    }

    [[nodiscard]] const std::string &id() const { return m_id; }

    /// Partitioned from all machines and from the store: nothing arrives, nothing is sent, and tasks run on until their lease has expired.
    void cut()
    {
        m_record.line("worker " + m_id + " is cut off");
        m_isCut = true;
    }

    void heal()
    {
        m_record.line("worker " + m_id + " is connected again");
        m_isCut = false;
    }

    /// Announces that the worker will leave in @p remainingMs.
    void drain(std::int64_t remainingMs)
    {
        m_record.line("worker " + m_id + " reports draining, " + std::to_string(remainingMs) + " ms left");
        m_leavesAt = steadyMs() + remainingMs;
        m_isDraining = true;
        writeEntry();
    }

    /// Delays the next heartbeat, so that an expired entry is written again this long from now.
    void writeEntryIn(std::int64_t duration) { m_nextEntry = steadyMs() + duration; }

    [[nodiscard]] bool runs(const std::string &task)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_running.count(task) > 0;
    }

private:
    struct Running {
        int run = 0;
        std::int64_t endsAt = 0;
        std::int64_t startedAt = 0;
        std::int64_t duration = 1;
        std::size_t logIndex = 0;
    };
    struct Ended {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t logIndex = 0;
    };

    [[nodiscard]] std::int64_t clock() const { return steadyMs() - m_start + 1000; }

    HttpAnswer answer(int status, Json body) const
    {
        body["clock_ms"] = clock();
        body["born"] = m_born;
        return {status, body.dump()};
    }

    HttpAnswer serve(const std::string &target, const HttpMessage &request)
    {
        if (m_isCut) {
            return {};
        }
        const Json body = Json::parse(request.body, nullptr, false);
        const auto instance = request.headers.find("x-expect-instance");
        if (!body.is_object()) {
            return answer(400, Json::object());
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        if (instance != request.headers.end() && instance->second != m_id) {
            return answer(421, Json::object());
        }
        const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
        if (fence < m_fence) {
            return answer(409, {{"reason", "fence"}});
        }
        m_fence = fence;
        const HttpAnswer result = target == "/run-start" ? start(body) : target == "/run-stop" ? stop(body) : hold(body, lock);
        return m_isCut ? HttpAnswer{} : result;
    }

    void extendLease(std::int64_t deadline) { m_lease = std::max(m_lease, std::min(deadline, clock() + maxHoldMs)); }

    HttpAnswer start(const Json &body)
    {
        const std::string task = body.value("task", "");
        const int run = body.value("run", 0);
        const std::int64_t deadline = body.value("deadline_ms", std::int64_t(0));
        if (deadline <= clock()) {
            return answer(409, {{"reason", "late"}});
        }
        extendLease(deadline);
        const auto present = m_running.find(task);
        if (present != m_running.end() && present->second.run == run) {
            return answer(200, Json::object());
        }
        if (present != m_running.end() || run <= m_highest[task]) {
            return answer(409, {{"reason", "old"}});
        }
        Running added;
        added.run = run;
        added.startedAt = steadyMs();
        added.duration = std::max<std::int64_t>(std::atoll(body.value("spec", "").c_str()), 1);
        added.endsAt = added.startedAt + added.duration;
        TaskRun logged;
        logged.task = task;
        logged.run = run;
        logged.worker = m_id;
        logged.spec = body.value("spec", "");
        logged.startedAt = added.startedAt;
        added.logIndex = m_runs.add(logged);
        m_running[task] = added;
        m_record.line("worker " + m_id + " starts task " + task + " run " + std::to_string(run) + ", fencing token " + std::to_string(m_fence));
        return answer(200, Json::object());
    }

    HttpAnswer stop(const Json &body)
    {
        const std::string task = body.value("task", "");
        const int run = body.value("run", 0);
        const auto present = m_running.find(task);
        if (present != m_running.end() && present->second.run == run) {
            end(task, "stopped");
        }
        m_highest[task] = std::max(m_highest[task], run);
        return answer(200, Json::object());
    }

    HttpAnswer hold(const Json &body, std::unique_lock<std::mutex> &lock)
    {
        const std::int64_t cursor = body.value("ack_cursor", std::int64_t(0));
        for (auto ended = m_ended.begin(); ended != m_ended.end();) {
            if (ended->number <= cursor) {
                m_runs.change(ended->logIndex, [](TaskRun &run) { run.notedAt = steadyMs(); });
                ended = m_ended.erase(ended);
            } else {
                ++ended;
            }
        }
        if (body.contains("deadline_ms")) {
            extendLease(body.value("deadline_ms", std::int64_t(0)));
        }
        const std::int64_t until = steadyMs() + std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000);
        while (m_ended.empty() && steadyMs() < until) {
            m_endAdded.wait_for(lock, std::chrono::milliseconds(5));
        }
        Json running = Json::array();
        for (const auto &[task, run] : m_running) {
            const std::int64_t percent = std::min<std::int64_t>((steadyMs() - run.startedAt) * 100 / run.duration, 99);
            running.push_back({task, run.run, "", percent, 100});
        }
        Json finished = Json::array();
        for (const Ended &ended : m_ended) {
            if (finished.size() < 500) {
                finished.push_back({ended.number, ended.task, ended.run, ended.how, ""});
            }
        }
        return answer(200, {{"running", running}, {"finished", finished}});
    }

    void end(const std::string &task, const std::string &how)
    {
        const Running run = m_running.at(task);
        m_running.erase(task);
        m_highest[task] = std::max(m_highest[task], run.run);
        m_ended.push_back({++m_lastEnd, task, run.run, how, run.logIndex});
        m_runs.change(run.logIndex, [&how](TaskRun &logged) {
            logged.endedAt = steadyMs();
            logged.how = how;
        });
        m_record.line("worker " + m_id + " ends task " + task + " run " + std::to_string(run.run) + ": " + how);
        m_endAdded.notify_all();
    }

    void tick()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            std::vector<std::pair<std::string, std::string>> ends;
            for (const auto &[task, run] : m_running) {
                if (clock() > m_lease) {
                    ends.emplace_back(task, "lapsed");
                } else if (run.endsAt <= steadyMs()) {
                    ends.emplace_back(task, "done");
                }
            }
            for (const auto &[task, how] : ends) {
                end(task, how);
            }
        }
        const std::int64_t now = steadyMs();
        if (now >= m_nextEntry && !m_isCut) {
            writeEntry();
        }
        if (m_isListed && now - m_lastEntry >= entryExpiryMs) {
            m_isListed = false;
            m_record.line("registry entry of worker " + m_id + " expires");
            m_store.expire("servers", m_id);
        }
    }

    void writeEntry()
    {
        m_nextEntry = steadyMs() + heartbeatMs;
        Json entry = {{"backend", "desk"},
                      {"address", m_server.address()},
                      {"zone", "z-a"},
                      {"version", "1"},
                      {"slots", 8},
                      {"machine", "m-" + m_id},
                      {"state", m_isDraining ? "draining" : "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", ++m_sequence},
                      {"born", m_born},
                      {"labels", {"a", "r1"}},
                      {"capacity", {{"cpu", m_cpu}, {"mem_mb", 64000}, {"gpu", 0}}}};
        if (m_isDraining) {
            entry["remaining_ms"] = std::max<std::int64_t>(m_leavesAt - steadyMs(), 0);
        }
        if (m_store.put("servers", m_id, entry.dump())) {
            m_lastEntry = steadyMs();
            m_isListed = true;
        }
    }

    Store &m_store;
    RunLog &m_runs;
    Record &m_record;
    std::string m_id;
    int m_cpu;
    std::int64_t m_born;
    std::int64_t m_start;
    std::mutex m_mutex;
    std::condition_variable m_endAdded;
    std::map<std::string, Running> m_running;
    std::vector<Ended> m_ended;
    std::map<std::string, int> m_highest; ///< Highest run of a task that was stopped or ended here.
    std::int64_t m_lastEnd = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_lease = 0;
    std::atomic<bool> m_isCut{false};
    std::atomic<bool> m_isDraining{false};
    std::atomic<std::int64_t> m_leavesAt{0};
    std::atomic<std::int64_t> m_nextEntry{0};
    std::int64_t m_lastEntry = 0;
    std::int64_t m_sequence = 0;
    bool m_isListed = false;
    HttpServer m_server; ///< Last, since its handler uses the other members.
};

/// The daemons, each a process of its own, started with the command of the deploy file.
class Daemons
{
public:
    Daemons(Store &store, Record &record, const std::string &program, const std::string &folder, int count)
        : m_record(record), m_program(program), m_folder(folder)
    {
        for (int i = 0; i < count; ++i) {
            Daemon daemon;
            daemon.name = "edge-" + std::to_string(i);
            const std::string ip = "127.0.0." + std::to_string(11 + i);
            daemon.caller = ip + ":" + std::to_string(freePort(ip));
            daemon.readiness = ip + ":" + std::to_string(freePort(ip));
            const int peerPort = freePort(ip);
            Json settings = {{"node", daemon.name},
                             {"role", "node"},
                             {"machine_class", "edge"},
                             {"serves", {"edge"}},
                             {"ip", ip},
                             {"zone", "z-a"},
                             {"region", "r"},
                             {"zones", {{"z-a", "r"}}},
                             {"listen_addrs", {{"frontend_addr", daemon.caller}, {"readiness_addr", daemon.readiness}}},
                             {"internal_ports", {peerPort, peerPort}},
                             {"seeds", Json::array()},
                             {"bootstrap", true},
                             {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}}},
                             {"heartbeat_ms", heartbeatMs},
                             {"bounds", {{"max_hold_ms", maxHoldMs}, {"status_s", 120}, {"revoke_ms", 5000}, {"grace_s", 6}}},
                             {"orders", "invocation"},
                             {"advice", "127.0.0.1:1"},
                             {"platform", {{"address", store.addListener(ip)}, {"form", "table"}, {"writes_per_s", 600}, {"part_writes_per_s", 200}}}};
            daemon.settings = folder + "/" + daemon.name + ".json";
            std::ofstream(daemon.settings) << settings.dump(2);
            m_daemons.push_back(daemon);
        }
    }

    ~Daemons()
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i].pid > 0) {
                ::kill(m_daemons[i].pid, SIGKILL);
                waitpid(m_daemons[i].pid, nullptr, 0);
            }
        }
    }
    Daemons(const Daemons &) = delete;
    Daemons &operator=(const Daemons &) = delete;

    [[nodiscard]] std::size_t size() const { return m_daemons.size(); }
    [[nodiscard]] const std::string &caller(std::size_t index) const { return m_daemons[index].caller; }
    [[nodiscard]] const std::string &name(std::size_t index) const { return m_daemons[index].name; }
    [[nodiscard]] bool isReady(std::size_t index) const
    {
        return callHttp(m_daemons[index].readiness, "GET", "/ready", "Host: balancer\r\n", "", 500).status == 200;
    }
    [[nodiscard]] bool isRunning(std::size_t index) const { return m_daemons[index].pid > 0; }

    void start(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        m_record.line("start of " + daemon.name);
        const std::string log = m_folder + "/" + daemon.name + ".log";
        daemon.pid = fork();
        if (daemon.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // No daemon is left behind if this program is stopped.
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            setenv("KINGCUPLADDER_BOOT", daemon.settings.c_str(), 1);
            execl(m_program.c_str(), m_program.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
    }

    void kill(std::size_t index)
    {
        m_record.line("SIGKILL to " + m_daemons[index].name);
        ::kill(m_daemons[index].pid, SIGKILL);
        waitpid(m_daemons[index].pid, nullptr, 0);
        m_daemons[index].pid = 0;
    }

    void signal(std::size_t index, int number, const char *what)
    {
        m_record.line(std::string(what) + " of " + m_daemons[index].name);
        ::kill(m_daemons[index].pid, number);
    }

    /// Returns the text that a daemon has logged.
    [[nodiscard]] std::string log(std::size_t index) const
    {
        std::ifstream file(m_folder + "/" + m_daemons[index].name + ".log");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /// Returns the index of the running daemon that became the leader last; the platform can tell it by its writes. -1: none.
    [[nodiscard]] int leader(Store &store) const
    {
        const std::string text = decodeBase64(store.get("cell", "", "leader").first);
        int found = -1;
        std::size_t first = std::string::npos;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            // The holder is the first field of the row; the members follow.
            const std::size_t at = text.find(m_daemons[i].name);
            if (at != std::string::npos && at < first && isRunning(i)) {
                first = at;
                found = static_cast<int>(i);
            }
        }
        return found;
    }

private:
    struct Daemon {
        std::string name;
        std::string caller;
        std::string readiness;
        std::string settings;
        pid_t pid = 0;
    };

    static std::string decodeBase64(const std::string &text)
    {
        std::string bytes;
        std::uint32_t bits = 0;
        int count = 0;
        for (const char c : text) {
            int digit = -1;
            if (c >= 'A' && c <= 'Z') digit = c - 'A';
            else if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
            else if (c >= '0' && c <= '9') digit = c - '0' + 52;
            else if (c == '+') digit = 62;
            else if (c == '/') digit = 63;
            if (digit < 0) {
                break;
            }
            bits = bits << 6 | static_cast<std::uint32_t>(digit);
            count += 6;
            if (count >= 8) {
                count -= 8;
                bytes += static_cast<char>(bits >> count & 255U);
            }
        }
        return bytes;
    }

    /// Returns a free port below those that the kernel gives to other sockets.
    static int freePort(const std::string &ip)
    {
        static std::mt19937 random(static_cast<unsigned>(getpid()) * 7919U + static_cast<unsigned>(unixMs()));
        for (int attempt = 0; attempt < 100; ++attempt) {
            const int port = 12000 + static_cast<int>(random() % 18000);
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopbackAddress(ip + ":" + std::to_string(port));
            const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            close(fd);
            if (isFree) {
                return port;
            }
        }
        throw std::runtime_error("no port is free");
    }

    Record &m_record;
    std::string m_program;
    std::string m_folder;
    std::vector<Daemon> m_daemons;
};

} // namespace Review
