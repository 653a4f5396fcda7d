// Implements the stand-ins.
#include "world.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <stdexcept>

namespace Review {

namespace {

constexpr std::int64_t transactionMs = 5;
constexpr std::int64_t readMs = 4;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t stopMs = 50; // A stop may take 200 ms.
constexpr std::size_t endsPerAnswer = 500;
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxTransactionBytes = 1000000;
const char backend[] = "works";
const char host[] = "queue.example";
const char prefix[] = "/jobs/";
const char apiKey[] = "key-of-the-tenant";

timeval toTimeval(std::int64_t ms)
{
    ms = std::max<std::int64_t>(ms, 0);
    return timeval{static_cast<time_t>(ms / 1000), static_cast<suseconds_t>(ms % 1000 * 1000)};
}

const char base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : base64Digits[group >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

std::size_t decodedSize(const std::string &base64)
{
    const std::size_t padding = static_cast<std::size_t>(std::count(base64.begin(), base64.end(), '='));
    return base64.size() / 4 * 3 - std::min(padding, base64.size() / 4 * 3);
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Loop

Loop::Loop(const std::string &recordPath) : m_base(event_base_new()), m_start(nowMs()), m_record(recordPath) { }

Loop::~Loop()
{
    event_base_free(m_base);
}

void Loop::after(std::int64_t ms, std::function<void()> function)
{
    const timeval delay = toTimeval(ms);
    event_base_once(
        m_base,
        -1,
        EV_TIMEOUT,
        [](evutil_socket_t, short, void *argument) {
            const std::unique_ptr<std::function<void()>> call(static_cast<std::function<void()> *>(argument));
            (*call)();
        },
        new std::function<void()>(std::move(function)),
        &delay);
}

void Loop::every(std::int64_t ms, std::function<void()> function)
{
    after(ms, [this, ms, function = std::move(function)] {
        function();
        every(ms, function);
    });
}

void Loop::run()
{
    event_base_dispatch(m_base);
}

void Loop::stop()
{
    event_base_loopbreak(m_base);
}

void Loop::record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(elapsed()) / 1000);
    m_record << time << line << std::endl;
}

// HttpServer

int freePort()
{
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int port = std::uniform_int_distribution<int>(15000, 30000)(random);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(socket);
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

HttpServer::HttpServer(Loop &loop, Handler handler) : m_loop(loop), m_handler(std::move(handler)), m_port(freePort())
{
    open();
}

HttpServer::~HttpServer()
{
    close();
}

void HttpServer::open()
{
    if (m_http != nullptr) {
        return;
    }
    m_http = evhttp_new(m_loop.base());
    for (int attempt = 0; evhttp_bind_socket(m_http, "127.0.0.1", static_cast<std::uint16_t>(m_port)) != 0; ++attempt) {
        if (m_generation > 0 || attempt > 100) {
            throw std::runtime_error("a port is in use");
        }
        m_port = freePort();
    }
    evhttp_set_timeout(m_http, 60);
    evhttp_set_max_body_size(m_http, 8 * 1024 * 1024);
    evhttp_set_gencb(
        m_http,
        [](evhttp_request *raw, void *self) {
            HttpRequest request;
            request.raw = raw;
            request.connection = evhttp_request_get_connection(raw);
            request.method = evhttp_request_get_command(raw) == EVHTTP_REQ_POST ? "POST" : "GET";
            const evhttp_uri *uri = evhttp_request_get_evhttp_uri(raw);
            request.path = evhttp_uri_get_path(uri) != nullptr ? evhttp_uri_get_path(uri) : "/";
            if (evhttp_uri_get_query(uri) != nullptr) {
                evkeyvalq values{};
                evhttp_parse_query_str(evhttp_uri_get_query(uri), &values);
                for (const evkeyval *value = values.tqh_first; value != nullptr; value = value->next.tqe_next) {
                    request.query[value->key] = value->value;
                }
                evhttp_clear_headers(&values);
            }
            const char *instance = evhttp_find_header(evhttp_request_get_input_headers(raw), "X-Expect-Instance");
            request.expectedInstance = instance != nullptr ? instance : "";
            evbuffer *body = evhttp_request_get_input_buffer(raw);
            request.body.resize(evbuffer_get_length(body));
            evbuffer_copyout(body, request.body.data(), request.body.size());
            static_cast<HttpServer *>(self)->m_handler(request);
        },
        this);
}

void HttpServer::close()
{
    if (m_http != nullptr) {
        ++m_generation;
        evhttp_free(std::exchange(m_http, nullptr));
    }
}

void HttpServer::reply(evhttp_request *request, int status, const json &body)
{
    evbuffer *buffer = evbuffer_new();
    const std::string text = body.is_null() ? std::string() : body.dump();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

// Store

Store::Store(Loop &loop) : m_loop(loop)
{
    m_loop.every(5, [this] { answerFeeds(); });
}

int Store::addPort()
{
    auto number = std::make_shared<int>(0);
    auto server = std::make_unique<HttpServer>(m_loop, [this, number](const HttpRequest &request) { handle(*number, request); });
    *number = server->port();
    m_ports[*number].server = std::move(server);
    return *number;
}

void Store::handle(int port, const HttpRequest &request)
{
    Port &entry = m_ports[port];
    const auto table = request.query.find("table");
    if (table != request.query.end() && !m_silenceNext[port].empty() && table->second == m_silenceNext[port]) {
        m_silenceNext[port].clear();
        entry.silent.insert(request.connection);
        m_loop.record("store: a connection goes silent; its request is " + request.method + " " + request.path + " table " + table->second);
    }
    if (entry.silent.count(request.connection) > 0 || m_fault == StoreFault::Silent) {
        return; // Never answered.
    }
    if (m_fault == StoreFault::Busy) {
        HttpServer::reply(request.raw, 503, json::object());
        return;
    }
    const int generation = entry.server->generation();
    m_loop.after(request.method == "POST" ? transactionMs : readMs, [this, port, generation, request] { answer(port, generation, request); });
}

void Store::answer(int port, int generation, const HttpRequest &request)
{
    if (m_ports[port].server->generation() != generation) {
        return;
    }
    const auto query = [&request](const char *name) { return request.query.count(name) > 0 ? request.query.at(name) : std::string(); };
    if (request.path == "/rows-tx") {
        transact(request);
    } else if (request.path == "/rows-get") {
        const std::size_t limit = std::min<std::size_t>(query("limit").empty() ? 500 : std::stoul(query("limit")), 500);
        json rows = json::array();
        bool truncated = false;
        const std::string end = query("target");
        std::size_t bytes = 0;
        for (auto row = m_rows.lower_bound({query("table"), query("part"), query("from")}); row != m_rows.end(); ++row) {
            const auto &[table, part, key] = row->first;
            if (table != query("table") || part != query("part") || (!end.empty() && key >= end)) {
                break;
            }
            bytes += row->second.value.size();
            if (rows.size() >= limit || (bytes > maxTransactionBytes && !rows.empty())) {
                truncated = true;
                break;
            }
            rows.push_back(rowJson(row->first));
        }
        HttpServer::reply(request.raw, 200, {{"rows", rows}, {"truncated", truncated}, {"ver", m_version}, {"now_ms", m_loop.elapsed()}});
    } else if (request.path == "/rows-feed") {
        const Feed feed{request, port, generation, query("table"), std::stoull(query("after")), nowMs() + std::stoll("0" + query("wait_ms"))};
        if (!answerFeed(feed, feed.deadline <= nowMs())) {
            m_feeds.push_back(feed);
        }
    } else {
        HttpServer::reply(request.raw, 404, json::object());
    }
}

json Store::rowJson(const Key &key, bool deleted) const
{
    const auto found = m_rows.find(key);
    json row = {{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)}, {"ver", 0}};
    if (found != m_rows.end()) {
        row["value"] = found->second.value;
        row["ver"] = found->second.version;
    }
    if (deleted) {
        row["deleted"] = true;
    }
    return row;
}

void Store::write(const Key &key, const std::string &value)
{
    m_rows[key] = Row{value, m_version};
    m_changes.push_back(Change{m_version, key, false});
}

void Store::erase(const Key &key)
{
    if (m_rows.erase(key) > 0) {
        m_changes.push_back(Change{m_version, key, true});
    }
}

void Store::transact(const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    const auto keyOf = [](const json &entry) { return Key{entry.value("table", ""), entry.value("part", ""), entry.value("key", "")}; };
    const json none = json::array();
    const json &conditions = body.contains("expected_revision") ? body["expected_revision"] : none;
    const json &writes = body.contains("writes") ? body["writes"] : none;
    const json &removals = body.contains("remove") ? body["remove"] : none;
    bool isValid = conditions.size() + writes.size() + removals.size() <= maxEntries && request.body.size() <= maxTransactionBytes;
    std::set<std::string> parts;
    for (const json *list : {&conditions, &writes, &removals}) {
        for (const json &entry : *list) {
            parts.insert(entry.value("part", ""));
        }
    }
    isValid = isValid && parts.size() <= 1;
    for (const json &entry : writes) {
        if (decodedSize(entry.value("value", "")) > maxRowBytes) {
            isValid = false;
            if (m_refusedRows++ == 0) {
                m_loop.record("store: refuses a transaction with 400, since the value of row " + entry.value("table", "") + "/" + entry.value("key", "")
                              + " has " + std::to_string(decodedSize(entry.value("value", ""))) + " bytes, more than row_bytes; later ones are not recorded");
            }
        }
        const std::string table = entry.value("table", "");
        if (table == "op" || table == "servers") {
            HttpServer::reply(request.raw, 403, json::object());
            return;
        }
    }
    if (!isValid) {
        HttpServer::reply(request.raw, 400, json::object());
        return;
    }
    json current = json::array();
    bool holds = true;
    for (const json &entry : conditions) {
        const json row = rowJson(keyOf(entry));
        holds = holds && row["ver"] == entry.value("ver", std::uint64_t{0});
        current.push_back(row);
    }
    if (!holds) {
        HttpServer::reply(request.raw, 412, {{"rows", current}, {"ver", m_version}, {"now_ms", m_loop.elapsed()}});
        return;
    }
    ++m_version;
    for (const json &entry : writes) {
        write(keyOf(entry), entry.value("value", ""));
    }
    for (const json &entry : removals) {
        erase(keyOf(entry));
    }
    HttpServer::reply(request.raw, 200, {{"ver", m_version}, {"now_ms", m_loop.elapsed()}});
}

bool Store::answerFeed(const Feed &feed, bool isDue)
{
    json rows = json::array();
    const auto first =
        std::upper_bound(m_changes.begin(), m_changes.end(), feed.after, [](std::uint64_t after, const Change &change) { return after < change.version; });
    for (auto change = first; change != m_changes.end(); ++change) {
        if (std::get<0>(change->key) == feed.table) {
            rows.push_back(rowJson(change->key, change->deleted));
        }
    }
    if (rows.empty() && !isDue) {
        return false;
    }
    HttpServer::reply(feed.request.raw, 200, {{"rows", rows}, {"ver", m_version}, {"now_ms", m_loop.elapsed()}});
    return true;
}

void Store::answerFeeds()
{
    if (m_fault != StoreFault::None) {
        return;
    }
    std::vector<Feed> feeds;
    std::swap(feeds, m_feeds);
    for (const Feed &feed : feeds) {
        if (m_ports[feed.port].server->generation() == feed.generation && !answerFeed(feed, feed.deadline <= nowMs())) {
            m_feeds.push_back(feed);
        }
    }
}

bool Store::put(const std::string &table, const std::string &key, const json &value)
{
    if (m_fault != StoreFault::None) {
        return false;
    }
    ++m_version;
    write({table, "", key}, encodeBase64(value.dump()));
    return true;
}

void Store::remove(const std::string &table, const std::string &key)
{
    ++m_version;
    erase({table, "", key});
}

int Store::repeatRows(const std::string &table, int count)
{
    std::vector<std::pair<Key, Row>> found;
    for (const auto &[key, row] : m_rows) {
        if (std::get<0>(key) == table) {
            found.emplace_back(key, row);
        }
    }
    int made = 0;
    ++m_version;
    for (; !found.empty() && made < count; ++made) {
        const auto &[key, row] = found[static_cast<std::size_t>(made) % found.size()];
        m_rows[{table, std::get<1>(key), World::jobId(1000000 + static_cast<std::uint64_t>(made))}] = Row{row.value, m_version};
    }
    return made;
}

// History

TaskName parseTask(const std::string &name)
{
    TaskName task;
    task.job = name.substr(0, name.find('.'));
    std::sscanf(name.c_str() + name.find('.'), ".%d.%d.%d", &task.occurrence, &task.step, &task.index);
    return task;
}

std::vector<std::string> History::twice() const
{
    std::vector<std::string> breaches;
    for (const auto &[task, list] : starts) {
        const auto ends = done.find(task);
        for (const Start &start : list) {
            if (ends != done.end()) {
                for (const Done &end : ends->second) {
                    if (end.isNoted && end.at < start.at) {
                        breaches.push_back("task " + task + " run " + std::to_string(start.run) + " started on " + start.worker + " "
                                           + std::to_string(start.at - end.at) + " ms after a run had ended done on " + end.worker
                                           + ", an end that was taken note of");
                        break; // One breach for each start.
                    }
                }
            }
            for (const Start &other : list) {
                const std::int64_t otherEnd = other.endedAt == 0 ? INT64_MAX : other.endedAt;
                if (&other < &start && start.at < otherEnd && other.at <= start.at) {
                    breaches.push_back("task " + task + " run " + std::to_string(start.run) + " started on " + start.worker + " while run "
                                       + std::to_string(other.run) + " was at work on " + other.worker);
                }
            }
        }
    }
    return breaches;
}

int History::ends(const std::string &job, const std::string &how) const
{
    int count = 0;
    for (auto entry = starts.lower_bound(job); entry != starts.end() && entry->first.compare(0, job.size(), job) == 0; ++entry) {
        count += static_cast<int>(std::count_if(entry->second.begin(), entry->second.end(), [&how](const Start &start) { return start.how == how; }));
    }
    return count;
}

std::size_t History::startsOf(const std::string &job) const
{
    std::size_t count = 0;
    for (auto entry = starts.lower_bound(job); entry != starts.end() && entry->first.compare(0, job.size(), job) == 0; ++entry) {
        count += entry->second.size();
    }
    return count;
}

std::int64_t History::lastEndOf(const std::string &job) const
{
    std::int64_t last = 0;
    for (auto entry = starts.lower_bound(job); entry != starts.end() && entry->first.compare(0, job.size(), job) == 0; ++entry) {
        for (const Start &start : entry->second) {
            last = std::max(last, start.endedAt);
        }
    }
    return last;
}

bool History::isRunning(const std::string &job) const
{
    for (auto entry = starts.lower_bound(job); entry != starts.end() && entry->first.compare(0, job.size(), job) == 0; ++entry) {
        for (const Start &start : entry->second) {
            if (start.endedAt == 0) {
                return true;
            }
        }
    }
    return false;
}

// Worker

Worker::Worker(
    Loop &loop, Store &store, History &history, std::map<std::string, Gang> &gangs, std::string id, std::string machine, Planner planner, std::int64_t ahead)
    : clockAhead(ahead)
    , m_loop(loop)
    , m_store(store)
    , m_history(history)
    , m_gangs(gangs)
    , m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_planner(std::move(planner))
    , m_server(loop, [this](const HttpRequest &request) { handle(request); })
{
    m_born = unixMs() + clockAhead;
    m_clockStart = nowMs();
    m_loop.every(2, [this] { tick(); });
    m_loop.every(heartbeatMs, [this] { beat(); });
}

void Worker::beat()
{
    if (!isUp()) {
        return;
    }
    m_store.put("servers",
                m_id,
                {{"backend", backend},
                 {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                 {"zone", "zone-a"},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"capacity", {{"cpu", cpu}, {"mem_mb", memory}, {"gpu", 0}}},
                 {"labels", {"a", "r1-1"}},
                 {"machine", m_machine},
                 {"clock_ms", clock()},
                 {"born", m_born},
                 {"sequence", ++m_sequence}});
}

void Worker::crash()
{
    if (!isUp()) {
        return;
    }
    m_held.clear();
    m_server.close();
    const std::map<std::string, Run> lost = std::exchange(m_running, {});
    for (const auto &[task, run] : lost) {
        leaveGang(task, run.run, "crash");
    }
    for (const auto &[task, run] : lost) {
        for (History::Start &start : m_history.starts[task]) {
            if (start.worker == m_id && start.run == run.run && start.endedAt == 0) {
                start.endedAt = nowMs();
                start.how = "crash";
            }
        }
    }
    m_ended.clear();
    m_highestEnded.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_deadline = 0;
    m_lapsedAt = 0;
    m_sequence = 0;
}

void Worker::restart()
{
    m_born = unixMs() + clockAhead;
    m_clockStart = nowMs();
    m_server.open();
    beat();
}

bool Worker::isFenced(const json &body)
{
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < m_fence) {
        return true;
    }
    m_fence = token;
    return false;
}

void Worker::extend(std::int64_t deadline)
{
    m_deadline = std::max(m_deadline, std::min(deadline, clock() + maxHoldMs));
}

void Worker::handle(const HttpRequest &request)
{
    if (!request.expectedInstance.empty() && request.expectedInstance != m_id) {
        HttpServer::reply(request.raw, 421, json::object());
        return;
    }
    if (request.path == "/health") {
        HttpServer::reply(request.raw, 200, json::object());
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        HttpServer::reply(request.raw, 400, json::object());
    } else if (request.path == "/run-start") {
        start(request, body);
    } else if (request.path == "/run-stop") {
        stop(request, body);
    } else if (request.path == "/hold") {
        hold(request, body);
    } else {
        HttpServer::reply(request.raw, 404, json::object());
    }
}

void Worker::start(const HttpRequest &request, const json &body)
{
    const std::string task = body.value("task", "");
    const std::uint64_t run = body.value("run", std::uint64_t{0});
    const auto refuse = [&](const char *reason) { HttpServer::reply(request.raw, 409, {{"clock_ms", clock()}, {"born", m_born}, {"reason", reason}}); };
    if (isFenced(body)) {
        return refuse("fence");
    }
    const std::int64_t deadline = body.value("deadline_ms", std::int64_t{0});
    if (deadline < clock()) {
        return refuse("late");
    }
    extend(deadline);
    const auto running = m_running.find(task);
    const bool isThere = running != m_running.end() && running->second.run == run;
    if (!isThere) {
        const auto highest = m_highestEnded.find(task);
        if ((highest != m_highestEnded.end() && run <= highest->second) || (running != m_running.end() && run < running->second.run)) {
            return refuse("old");
        }
        const TaskPlan plan = m_planner(task, run);
        m_running[task] = Run{run, nowMs() + plan.ms, plan.end, nowMs()};
        m_history.starts[task].push_back(History::Start{m_id, run, nowMs(), 0, {}});
        joinGang(task, run, plan.ms);
    }
    HttpServer::reply(request.raw, 200, {{"clock_ms", clock()}, {"born", m_born}});
}

void Worker::stop(const HttpRequest &request, const json &body)
{
    if (isFenced(body)) {
        HttpServer::reply(request.raw, 409, {{"clock_ms", clock()}, {"born", m_born}, {"reason", "fence"}});
        return;
    }
    const std::string task = body.value("task", "");
    const std::uint64_t run = body.value("run", std::uint64_t{0});
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run == run && running->second.endsAt > nowMs() + stopMs) {
        running->second.endsAt = nowMs() + stopMs;
        running->second.how = "stopped";
    }
    HttpServer::reply(request.raw, 200, {{"clock_ms", clock()}, {"born", m_born}});
}

void Worker::hold(const HttpRequest &request, const json &body)
{
    if (isFenced(body)) {
        HttpServer::reply(request.raw, 409, {{"clock_ms", clock()}, {"born", m_born}, {"reason", "fence"}});
        return;
    }
    const std::uint64_t acknowledged = body.value("ack_cursor", std::uint64_t{0});
    while (!m_ended.empty() && m_ended.front().number <= acknowledged) {
        const Ended &ended = m_ended.front();
        if (ended.how == "done" && m_lapsedAt <= ended.at) {
            m_history.done[ended.task][ended.doneIndex].isNoted = true;
        }
        m_ended.erase(m_ended.begin());
    }
    if (body.contains("deadline_ms")) {
        extend(body["deadline_ms"].get<std::int64_t>());
    }
    const std::int64_t wait = std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2000);
    if (wait <= 0 || !m_ended.empty()) {
        answerHold(request);
        return;
    }
    m_held.push_back(Held{request, m_server.generation(), nowMs() + wait});
}

void Worker::answerHold(const HttpRequest &request)
{
    json running = json::array();
    for (const auto &[task, run] : m_running) {
        const std::int64_t length = std::max<std::int64_t>(run.endsAt - run.startedAt, 1);
        running.push_back({task, run.run, "", std::clamp<std::int64_t>((nowMs() - run.startedAt) * 100 / length, 0, 99), 100});
    }
    json finished = json::array();
    for (const Ended &ended : m_ended) {
        if (finished.size() == endsPerAnswer) {
            break;
        }
        finished.push_back({ended.number, ended.task, ended.run, ended.how, ""});
    }
    HttpServer::reply(request.raw, 200, {{"clock_ms", clock()}, {"born", m_born}, {"running", running}, {"finished", finished}});
}

void Worker::end(const std::string &task, const std::string &how)
{
    const auto run = m_running.find(task);
    const std::uint64_t number = run->second.run;
    m_running.erase(run);
    leaveGang(task, number, how);
    m_highestEnded[task] = std::max(m_highestEnded[task], number);
    for (History::Start &start : m_history.starts[task]) {
        if (start.worker == m_id && start.run == number && start.endedAt == 0) {
            start.endedAt = nowMs();
            start.how = how;
        }
    }
    std::size_t doneIndex = 0;
    if (how == "done") {
        doneIndex = m_history.done[task].size();
        m_history.done[task].push_back(History::Done{m_id, nowMs()});
    }
    m_ended.push_back(Ended{++m_lastEnd, task, number, how, nowMs(), doneIndex});
}

void Worker::joinGang(const std::string &task, std::uint64_t run, std::int64_t workMs)
{
    const auto gang = m_gangs.find(task.substr(0, task.rfind('.')));
    if (gang == m_gangs.end()) {
        return;
    }
    std::vector<Gang::Member> &members = gang->second.present[run];
    members.push_back(Gang::Member{task, this});
    m_running[task].endsAt = nowMs() + gangTimeoutMs;
    m_running[task].how = "alone";
    if (static_cast<int>(members.size()) == gang->second.count) {
        for (const Gang::Member &member : members) {
            Run &joined = member.worker->m_running[member.task];
            joined.endsAt = nowMs() + workMs;
            joined.how = "done";
        }
    }
}

void Worker::leaveGang(const std::string &task, std::uint64_t run, const std::string &how)
{
    const auto gang = m_gangs.find(task.substr(0, task.rfind('.')));
    if (gang == m_gangs.end() || how == "done") {
        return;
    }
    for (const Gang::Member &member : std::exchange(gang->second.present[run], {})) {
        const auto other = member.worker->m_running.find(member.task);
        if (other != member.worker->m_running.end() && other->second.run == run && member.task != task) {
            other->second.endsAt = nowMs();
            other->second.how = how == "alone" ? "alone" : "broken";
        }
    }
}

void Worker::tick()
{
    if (!isUp()) {
        return;
    }
    if (m_deadline > 0 && clock() > m_deadline) {
        if (!m_running.empty()) {
            m_loop.record("worker " + m_id + ": the lease has lapsed with " + std::to_string(m_running.size()) + " tasks");
        }
        m_lapsedAt = nowMs();
        m_deadline = 0;
        while (!m_running.empty()) {
            const std::string task = m_running.begin()->first;
            end(task, "lapsed");
        }
    }
    std::vector<std::string> due;
    for (const auto &[task, run] : m_running) {
        if (run.endsAt <= nowMs()) {
            due.push_back(task);
        }
    }
    for (const std::string &task : due) {
        const std::string how = m_running.at(task).how;
        end(task, how);
    }
    std::vector<Held> held;
    std::swap(held, m_held);
    for (const Held &entry : held) {
        if (entry.generation != m_server.generation()) {
            continue;
        }
        if (!m_ended.empty() || entry.deadline <= nowMs()) {
            answerHold(entry.request);
        } else {
            m_held.push_back(entry);
        }
    }
}

// Node

Node::Node(Loop &loop, Store &store, std::string name, std::string directory)
    : m_loop(loop), m_name(std::move(name)), m_directory(std::move(directory)), m_storePort(store.addPort())
{
    choosePorts();
}

void Node::choosePorts()
{
    m_callerPort = freePort();
    m_readyPort = freePort();
    m_peerPort = freePort();
}

Node::~Node()
{
    kill();
}

void Node::start(bool isBootstrap)
{
    const std::string ip = "127.0.0.1";
    const auto address = [&ip](int port) { return ip + ":" + std::to_string(port); };
    const json settings = {
        {"node", m_name},
        {"role", "node"},
        {"machine_class", "edge"},
        {"serves", {"edge"}},
        {"ip", ip},
        {"zone", "zone-a"},
        {"region", "region-a"},
        {"zones", {{"zone-a", "region-a"}}},
        {"listen_addrs", {{"frontend_addr", address(m_callerPort)}, {"readiness_addr", address(m_readyPort)}}},
        {"internal_ports", {m_peerPort, m_peerPort}},
        {"seeds", json::array()},
        {"bootstrap", isBootstrap},
        {"counts_as_loss", false},
        {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entrypoint", "vip"},
        {"heartbeat_ms", heartbeatMs},
        {"contracts", {"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform", "advice", "upkeep", "sharing"}},
        {"fault_tolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds",
         {{"contact_ms", 3000},
          {"ack_timeout_ms", 4000},
          {"drain_ms", 2000},
          {"grace_s", 6},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 2000},
          {"max_stretch_ms", 5000},
          {"revoke_ms", 5000},
          {"recovery_s", 12},
          {"max_hold_ms", 6000},
          {"stop_timeout_ms", 200},
          {"gang_timeout_ms", 3000},
          {"cancel_ms", 3000},
          {"visible_ms", 3000},
          {"early_ms", 250},
          {"finish_s", 14},
          {"status_s", 120},
          {"lease_ms", 3000},
          {"strict_revocation", true}}},
        {"orders", "invocation"},
        {"advice", address(m_storePort)},
        {"platform",
         {{"address", address(m_storePort)},
          {"form", "table"},
          {"writes_per_s", 600},
          {"reads_per_s", 2000},
          {"tx_ms", 5.0},
          {"part_writes_per_s", 200},
          {"row_bytes", Store::maxRowBytes},
          {"across", false},
          {"history_s", 20},
          {"blob_bytes", 8388608},
          {"blob_ms", 25.0},
          {"blob_mb_per_s", 80.0}}},
        {"cloud_api", {{"address", address(m_storePort)}, {"rate_per_s", 60.0}, {"duties", json::array()}, {"duty_per_s", 60.0}}}};
    const std::string path = m_directory + "/" + m_name + ".json";
    std::ofstream(path) << settings.dump(2);
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the scenario, however that ends.
        const int log = ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 1024; ++descriptor) {
            ::close(descriptor);
        }
        setenv("KINGCUPLADDER_BOOT", path.c_str(), 1);
        execl("target/platform/kingcupladder-node", "kingcupladder-node", static_cast<char *>(nullptr)); // The command of the deploy file.
        _exit(127);
    }
    m_pid = pid;
}

void Node::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool Node::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
        return true;
    }
    return false;
}

std::size_t Node::residentKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (m_pid > 0 && std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::strtoul(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

int Node::leaderships() const
{
    std::ifstream log(logPath());
    std::string line;
    int count = 0;
    while (std::getline(log, line)) {
        count += line.find("] leads the cell in epoch ") != std::string::npos ? 1 : 0;
    }
    return count;
}

// Calls

namespace {

struct Call {
    evhttp_connection *connection;
    Response response;
    Loop *loop;
};

} // namespace

void call(Loop &loop, int port, const std::string &method, const std::string &path, const std::string &body, std::int64_t timeoutMs, Response response)
{
    auto *pending = new Call{evhttp_connection_base_new(loop.base(), nullptr, "127.0.0.1", static_cast<std::uint16_t>(port)), std::move(response), &loop};
    evhttp_connection_set_retries(pending->connection, 0);
    const timeval timeout = toTimeval(timeoutMs);
    evhttp_connection_set_timeout_tv(pending->connection, &timeout);
    evhttp_request *request = evhttp_request_new(
        [](evhttp_request *answer, void *argument) {
            const std::unique_ptr<Call> call(static_cast<Call *>(argument));
            const int status = answer != nullptr ? evhttp_request_get_response_code(answer) : 0;
            std::string body;
            if (status != 0) {
                evbuffer *buffer = evhttp_request_get_input_buffer(answer);
                body.resize(evbuffer_get_length(buffer));
                evbuffer_copyout(buffer, body.data(), body.size());
            }
            call->loop->after(0, [connection = call->connection, response = call->response, status, body] {
                evhttp_connection_free(connection);
                response(status, body);
            });
        },
        pending);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", host);
    evhttp_add_header(headers, "Authorization", (std::string("Bearer ") + apiKey).c_str());
    evhttp_add_header(headers, "X-Deadline-Ms", std::to_string(timeoutMs).c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    const evhttp_cmd_type command = method == "POST" ? EVHTTP_REQ_POST : method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
    evhttp_make_request(pending->connection, request, command, path.c_str());
}

// World

World::World(const std::string &directory, const std::string &recordPath) : loop(recordPath), store(loop), m_directory(directory)
{
    planner = [](const std::string &, std::uint64_t) { return TaskPlan{}; };
}

World::~World()
{
    nodes.clear();
    workers.clear();
}

void World::addWorkers(int count, std::int64_t clockAhead)
{
    for (int i = 0; i < count; ++i) {
        const std::string number = std::to_string(workers.size() + 1);
        workers.push_back(std::make_unique<Worker>(
            loop,
            store,
            history,
            gangs,
            "i-worker" + number,
            "m-" + number,
            [this](const std::string &task, std::uint64_t run) { return planner(task, run); },
            clockAhead));
        workers.back()->beat();
    }
}

void World::addNodes(int count)
{
    for (int i = 0; i < count; ++i) {
        nodes.push_back(std::make_unique<Node>(loop, store, "edge-zone-a-" + std::to_string(nodes.size() + 1), m_directory));
    }
}

void World::writeConfig(bool withRoute)
{
    ++m_configVersion;
    json routes = json::array();
    const json queue = {{"name", "r-queue"},
                        {"host", host},
                        {"path_prefix", prefix},
                        {"type", "non_idempotent"},
                        {"timeout_ms", 3000},
                        {"target_latency_ms", 3000},
                        {"priority", 1},
                        {"backend", backend},
                        {"attempts", attemptsOfQueue},
                        {"stretch", 4.0},
                        {"public", false}};
    json other = queue;
    other["name"] = "r-other";
    other["path_prefix"] = "/other/";
    routes.push_back(other);
    if (withRoute) {
        routes.push_back(queue);
    }
    store.put(
        "op",
        "config",
        {{"version", m_configVersion},
         {"routes", routes},
         {"services",
          {{{"name", backend},
            {"health_path", "/health"},
            {"max_connections", 64},
            {"protocol", "h1"},
            {"tls", false},
            {"enforces_capacity", false},
            {"headroom", false}}}},
         {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
         {"tenants", {{{"name", "tenant"}, {"api_keys", {apiKey}}, {"priority", 1}, {"weight", 1000}, {"maximum", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}}});
    loop.record("operator: configuration " + std::to_string(m_configVersion) + " acknowledged, " + (withRoute ? "with" : "without") + " the route r-queue");
}

void World::startNodes()
{
    for (const auto &node : nodes) {
        node->start(true);
    }
}

void World::whenReady(std::function<void()> ready, int attempts)
{
    if (attempts == 0) {
        std::fprintf(stderr, "the daemons did not get ready\n");
        std::exit(2);
    }
    for (const auto &node : nodes) {
        if (node->hasEnded()) {
            node->choosePorts(); // Another process has taken one of them.
            node->start(true);
        }
    }
    const auto left = std::make_shared<int>(static_cast<int>(nodes.size()));
    const auto good = std::make_shared<int>(0);
    for (const auto &node : nodes) {
        call(loop, node->port(), "GET", prefix, "", 1000, [this, left, good, ready, attempts](int status, const std::string &) {
            *good += status == 200 ? 1 : 0;
            if (--*left > 0) {
                return;
            }
            if (*good == static_cast<int>(nodes.size())) {
                ready();
            } else {
                loop.after(200, [this, ready, attempts] { whenReady(ready, attempts - 1); });
            }
        });
    }
}

Node &World::nextNode()
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node &node = *nodes[m_nextNode++ % nodes.size()];
        if (node.isRunning()) {
            return node;
        }
    }
    return *nodes.front();
}

void World::submit(const std::string &id, const json &body, std::function<void(bool)> accepted, int attempts)
{
    for (std::size_t step = 0; step < body["steps"].size(); ++step) {
        if (body["steps"][step].value("gang", false)) {
            gangs[id + ".0." + std::to_string(step)].count = body["steps"][step].value("count", 1);
        }
    }
    const Node &node = nextNode();
    call(loop, node.port(), "POST", prefix + id, body.dump(), 3000, [this, id, body, accepted, attempts, name = node.name()](int status, const std::string &) {
        if (status >= 200 && status < 300) {
            accepted(true);
        } else if (attempts <= 1 || (status != 0 && status < 429)) {
            loop.record("client: job " + id + " not accepted, last answer " + std::to_string(status) + " from " + name);
            accepted(false);
        } else {
            loop.after(300, [this, id, body, accepted, attempts] { submit(id, body, accepted, attempts - 1); });
        }
    });
}

void World::state(const std::string &id, std::function<void(const std::string &)> result, int attempts)
{
    const Node &node = nextNode();
    call(loop, node.port(), "GET", prefix + id, "", 3000, [this, id, result, attempts](int status, const std::string &body) {
        const json answer = json::parse(body, nullptr, false);
        if (status == 200 && answer.is_object()) {
            result(answer.value("state", ""));
        } else if (status == 404 || status == 410) {
            result(std::to_string(status));
        } else if (attempts <= 1) {
            result("");
        } else {
            loop.after(300, [this, id, result, attempts] { state(id, result, attempts - 1); });
        }
    });
}

std::string World::jobId(std::uint64_t number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(0x5c0e000000000000ULL + number * 0x9E3779B1ULL));
    return id;
}

std::string World::leaderFromLogs() const
{
    std::string leader;
    long highest = -1;
    for (const auto &node : nodes) {
        std::ifstream log(node->logPath());
        std::string line;
        while (std::getline(log, line)) {
            const std::size_t at = line.find("leads the cell in epoch ");
            if (at != std::string::npos && line.find("no longer") == std::string::npos) {
                const long epoch = std::strtol(line.c_str() + at + 24, nullptr, 10);
                if (epoch > highest) {
                    highest = epoch;
                    leader = node->name();
                }
            }
        }
    }
    return leader;
}

} // namespace Review
