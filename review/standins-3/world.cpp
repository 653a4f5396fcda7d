// Implementation of the stand-ins.
#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace Review {

namespace {

const Clock::time_point startedAt = Clock::now();
const char key[] = "review-key";
const char host[] = "desk.example";

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> values;
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string part = query.substr(begin, end - begin);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos) {
            values[part.substr(0, equals)] = unescape(part.substr(equals + 1));
        }
        begin = end + 1;
    }
    return values;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

std::string head(const std::string &bytes, std::size_t end, std::map<std::string, std::string> &headers)
{
    std::size_t begin = bytes.find("\r\n");
    const std::string first = bytes.substr(0, begin);
    begin += 2;
    while (begin < end) {
        const std::size_t lineEnd = bytes.find("\r\n", begin);
        const std::string line = bytes.substr(begin, lineEnd - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            headers[lower(line.substr(0, colon))] = line.substr(value);
        }
        begin = lineEnd + 2;
    }
    return first;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string toBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8U | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= n ? digits[value >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t value = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = 0;
        if (c >= 'A' && c <= 'Z') {
            digit = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            digit = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            digit = c - '0' + 52;
        } else if (c == '+') {
            digit = 62;
        } else if (c == '/') {
            digit = 63;
        } else {
            break;
        }
        value = value << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

Record::Record(const std::string &path) : m_file(path) { }

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << nowMs() << " ms  " << text << std::endl;
}

Server::Server(Handler handler) : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (m_listener < 0 || ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_listener, 256) != 0
        || ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("can't listen");
    }
    m_port = ntohs(address.sin_port);
    std::thread([this] { acceptAll(); }).detach();
}

std::string Server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

int Server::port() const
{
    return m_port;
}

void Server::setCut(bool cut)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cuts += cut && !m_cut ? 1 : 0;
    m_cut = cut;
}

void Server::setRefusing(bool refusing)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_refusing = refusing;
}

void Server::acceptAll()
{
    for (;;) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            sleepMs(5);
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

void Server::serve(int fd)
{
    std::uint64_t cuts = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        cuts = m_cuts; // A connection that is opened in a cut is lost with it.
        cuts -= m_cut ? 1 : 0;
    }
    const auto waitWhileCut = [this, cuts] {
        for (;;) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (m_refusing) {
                    return false;
                }
                if (!m_cut) {
                    return cuts == m_cuts;
                }
            }
            sleepMs(2);
        }
    };
    std::string bytes;
    for (;;) {
        std::size_t end = bytes.find("\r\n\r\n");
        std::size_t length = 0;
        Request request;
        std::string first;
        if (end != std::string::npos) {
            first = head(bytes, end, request.headers);
            length = static_cast<std::size_t>(std::atoll(request.headers["content-length"].c_str()));
        }
        if (end == std::string::npos || bytes.size() < end + 4 + length) {
            std::array<char, 16384> buffer{};
            pollfd poll{fd, POLLIN, 0};
            ::poll(&poll, 1, 1000);
            if (!waitWhileCut()) {
                break;
            }
            const ssize_t n = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN)) {
                break;
            }
            bytes.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            continue;
        }
        if (!waitWhileCut()) {
            break;
        }
        request.method = first.substr(0, first.find(' '));
        std::string target = first.substr(first.find(' ') + 1);
        target = target.substr(0, target.find(' '));
        request.path = target.substr(0, target.find('?'));
        request.query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        request.body = bytes.substr(end + 4, length);
        bytes.erase(0, end + 4 + length);
        const Response response = m_handler(request);
        if (response.status == 0) {
            // Delivers nothing further: wait until the peer gives up.
            std::array<char, 4096> buffer{};
            while (::recv(fd, buffer.data(), buffer.size(), 0) > 0) { }
            break;
        }
        if (!waitWhileCut()) {
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response.status) + " x\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(fd, text)) {
            break;
        }
    }
    const linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::close(fd);
}

int freePort()
{
    // Below the ports that the kernel gives to outgoing connections, so that the port is still free after a restart of its process.
    static int next = 20000 + static_cast<int>(::getpid() % 1000) * 12;
    for (;;) {
        next = next >= 32000 ? 20000 : next + 1;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(next);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (isFree) {
            return next;
        }
    }
}

ClientAnswer request(const std::string &address, const std::string &method, const std::string &path, const std::string &body, int timeoutMs)
{
    ClientAnswer answer;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target = loopback(std::stoi(address.substr(address.find(':') + 1)));
    if (::connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof(target)) != 0) {
        ::close(fd);
        return answer;
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key
        + "\r\nX-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::int64_t until = nowMs() + timeoutMs;
    std::string bytes;
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    if (sendAll(fd, text)) {
        while (nowMs() < until) {
            pollfd poll{fd, POLLIN, 0};
            if (::poll(&poll, 1, static_cast<int>(std::max<std::int64_t>(until - nowMs(), 1))) <= 0) {
                continue;
            }
            std::array<char, 16384> buffer{};
            const ssize_t n = ::recv(fd, buffer.data(), buffer.size(), 0);
            if (n <= 0) {
                break;
            }
            bytes.append(buffer.data(), static_cast<std::size_t>(n));
            end = bytes.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::map<std::string, std::string> headers;
                const std::string first = head(bytes, end, headers);
                length = static_cast<std::size_t>(std::atoll(headers["content-length"].c_str()));
                if (bytes.size() >= end + 4 + length) {
                    answer.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
                    answer.body = Json::parse(bytes.substr(end + 4, length), nullptr, false);
                    break;
                }
            }
        }
    }
    ::close(fd);
    return answer;
}

Store::Store(Record &record, int nodes) : m_record(record)
{
    for (int i = 0; i < nodes; ++i) {
        m_servers.push_back(std::make_unique<Server>([this, i](const Request &request) { return serve(i, request); }));
    }
}

std::string Store::address(int node) const
{
    return m_servers.at(static_cast<std::size_t>(node))->address();
}

Server &Store::link(int node)
{
    return *m_servers.at(static_cast<std::size_t>(node));
}

Json Store::rowJson(const Key &key, const std::string &value, std::uint64_t version, bool deleted)
{
    Json row = {{"table", key[0]}, {"part", key[1]}, {"key", key[2]}, {"ver", version}, {"value", value}};
    if (deleted) {
        row["deleted"] = true;
    }
    return row;
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Key rowKey{table, "", key};
    m_rows[rowKey] = Row{toBase64(value), ++m_version};
    m_history.push_back(Change{m_version, rowKey, m_rows[rowKey].value, false});
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Key rowKey{table, "", key};
    if (m_rows.erase(rowKey) > 0) {
        m_history.push_back(Change{++m_version, rowKey, "", true});
        m_changed.notify_all();
    }
}

std::string Store::get(const std::string &table, const std::string &part, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_rows.find(Key{table, part, key});
    return found == m_rows.end() ? std::string() : fromBase64(found->second.value);
}

Response Store::transact(const Json &body)
{
    const auto keyOf = [](const Json &row) { return Key{row.value("table", ""), row.value("part", ""), row.value("key", "")}; };
    Json answer = {{"rows", Json::array()}};
    bool holds = true;
    for (const Json &condition : body.value("expected_revision", Json::array())) {
        const Key rowKey = keyOf(condition);
        const auto found = m_rows.find(rowKey);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == condition.value("ver", std::uint64_t(0));
        if (found != m_rows.end()) {
            answer["rows"].push_back(rowJson(rowKey, found->second.value, version, false));
        }
    }
    answer["now_ms"] = nowMs();
    if (!holds) {
        answer["ver"] = m_version;
        return {412, answer.dump()};
    }
    ++m_version;
    for (const Json &write : body.value("writes", Json::array())) {
        const Key rowKey = keyOf(write);
        m_rows[rowKey] = Row{write.value("value", ""), m_version};
        m_history.push_back(Change{m_version, rowKey, m_rows[rowKey].value, false});
    }
    for (const Json &removal : body.value("remove", Json::array())) {
        const Key rowKey = keyOf(removal);
        if (m_rows.erase(rowKey) > 0) {
            m_history.push_back(Change{m_version, rowKey, "", true});
        }
    }
    m_changed.notify_all();
    return {200, Json{{"ver", m_version}, {"now_ms", nowMs()}}.dump()};
}

int Store::performHeld()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    int performed = 0;
    for (const Json &body : m_held) {
        const int status = transact(body).status;
        m_record.line("store: performs a call that was held back: " + std::to_string(status));
        performed += status == 200 ? 1 : 0;
    }
    m_held.clear();
    return performed;
}

Response Store::serve(int node, const Request &request)
{
    const auto query = parseQuery(request.query);
    const auto text = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (request.path == "/rows-tx") {
        sleepMs(5);
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return {400, "{}"};
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (holdsBack && holdsBack(node, body)) {
            m_held.push_back(body);
            return {0, ""};
        }
        return transact(body);
    }
    if (request.path == "/rows-get") {
        sleepMs(4);
        const std::lock_guard<std::mutex> lock(m_mutex);
        Json answer = {{"rows", Json::array()}, {"ver", m_version}, {"now_ms", nowMs()}};
        const std::string target = text("target");
        const std::size_t limit = text("limit").empty() ? 500 : std::min<std::size_t>(500, std::stoul(text("limit")));
        for (auto row = m_rows.lower_bound(Key{text("table"), text("part"), text("from")}); row != m_rows.end(); ++row) {
            if (row->first[0] != text("table") || row->first[1] != text("part") || (!target.empty() && row->first[2] >= target)) {
                break;
            }
            if (answer["rows"].size() >= limit) {
                answer["truncated"] = true;
                break;
            }
            answer["rows"].push_back(rowJson(row->first, row->second.value, row->second.version, false));
        }
        return {200, answer.dump()};
    }
    if (request.path == "/rows-parts") {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::set<std::string> parts;
        for (const auto &[rowKey, row] : m_rows) {
            if (rowKey[0] == text("table") && (text("after").empty() || rowKey[1] > text("after"))) {
                parts.insert(rowKey[1]);
            }
        }
        return {200, Json{{"parts", parts}, {"ver", m_version}, {"now_ms", nowMs()}}.dump()};
    }
    if (request.path == "/rows-feed") {
        const std::uint64_t after = text("after").empty() ? 0 : std::stoull(text("after"));
        const std::int64_t until = nowMs() + (text("wait_ms").empty() ? 0 : std::stoll(text("wait_ms")));
        std::unique_lock<std::mutex> lock(m_mutex);
        Json answer = {{"rows", Json::array()}};
        for (;;) {
            for (const Change &change : m_history) {
                if (change.version > after && change.key[0] == text("table")) {
                    answer["rows"].push_back(rowJson(change.key, change.value, change.version, change.deleted));
                }
            }
            if (!answer["rows"].empty() || nowMs() >= until) {
                break;
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
        }
        answer["ver"] = m_version;
        answer["now_ms"] = nowMs();
        return {200, answer.dump()};
    }
    return {404, "{}"};
}

Workers::Workers(Record &record, Store &store, int count, int cpu, int memory) : m_record(record), m_store(store), m_cpu(cpu), m_memory(memory)
{
    for (int i = 0; i < count; ++i) {
        auto worker = std::make_unique<Worker>();
        worker->id = "w" + std::to_string(i);
        worker->index = i;
        worker->born = unixMs();
        Worker *added = worker.get();
        worker->server = std::make_unique<Server>([this, added](const Request &request) { return serve(*added, request); });
        m_workers.push_back(std::move(worker));
    }
    m_threads.emplace_back([this] { tick(); });
    m_threads.emplace_back([this] { report(); });
}

Workers::~Workers()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

Server &Workers::link(int worker)
{
    return *m_workers.at(static_cast<std::size_t>(worker))->server;
}

std::string Workers::id(int worker) const
{
    return m_workers.at(static_cast<std::size_t>(worker))->id;
}

std::vector<Workers::Run> Workers::runs()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::vector<Workers::Run> Workers::atWork(const std::string &task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Run> found;
    std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(found), [&](const Run &run) { return run.task == task && run.ended < 0; });
    return found;
}

std::vector<std::string> Workers::breaches()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_breaches;
}

void Workers::crash(int index)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Worker &worker = *m_workers.at(static_cast<std::size_t>(index));
    worker.isUp = false;
    worker.server->setRefusing(true);
    for (const auto &[task, live] : worker.live) {
        m_runs[live.entry].ended = nowMs();
        m_runs[live.entry].how = "lost with its worker";
    }
    m_record.line(worker.id + ": crashes under " + std::to_string(worker.live.size()) + " runs");
    worker.live.clear();
    worker.ends.clear();
    m_changed.notify_all();
}

void Workers::startAgain(int index)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Worker &worker = *m_workers.at(static_cast<std::size_t>(index));
    worker.highest.clear();
    worker.token = 0;
    worker.sequence = 0;
    worker.leaseEnd = 0;
    worker.endNumber = 0;
    worker.born = unixMs();
    worker.isUp = true;
    worker.server->setRefusing(false);
    m_record.line(worker.id + ": starts again");
}

Response Workers::answer(const Worker &worker, int status, Json body) const
{
    body["clock_ms"] = nowMs();
    body["born"] = worker.born;
    return {status, body.dump()};
}

void Workers::end(Worker &worker, const std::string &task, const std::string &how)
{
    const auto live = worker.live.find(task);
    Run &run = m_runs[live->second.entry];
    run.ended = nowMs();
    run.how = how;
    worker.ends.push_back(End{++worker.endNumber, task, live->second.run, how, live->second.entry});
    worker.highest[task] = std::max(worker.highest[task], live->second.run);
    m_record.line(worker.id + ": " + task + " run " + std::to_string(live->second.run) + " ends " + how);
    worker.live.erase(live);
    m_changed.notify_all();
}

Response Workers::serve(Worker &worker, const Request &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return {400, "{}"};
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto instance = request.headers.find("x-expect-instance");
    if (!worker.isUp) {
        return {0, ""};
    }
    if (instance != request.headers.end() && instance->second != worker.id) {
        return answer(worker, 421, Json::object());
    }
    const std::uint64_t token = body.value("fencing_token", std::uint64_t(0));
    if (token < worker.token) {
        return answer(worker, 409, {{"reason", "fence"}});
    }
    worker.token = token;
    const std::int64_t deadline = body.value("deadline_ms", std::int64_t(0));
    const auto extend = [&worker, deadline] { worker.leaseEnd = std::max(worker.leaseEnd, std::min(deadline, nowMs() + 6000)); };
    if (request.path == "/run-start") {
        const std::string task = body.value("task", "");
        const std::uint64_t run = body.value("run", std::uint64_t(0));
        if (deadline <= nowMs()) {
            return answer(worker, 409, {{"reason", "late"}});
        }
        extend();
        const auto live = worker.live.find(task);
        if (live != worker.live.end() && live->second.run == run) {
            return answer(worker, 200, Json::object());
        }
        const auto highest = worker.highest.find(task);
        if (live != worker.live.end() || (highest != worker.highest.end() && run <= highest->second)) {
            return answer(worker, 409, {{"reason", "old"}});
        }
        for (const Run &other : m_runs) {
            const bool isTwice = other.task == task && (other.ended < 0 || (other.how == "done" && other.noted));
            if (isTwice) {
                m_breaches.push_back(task + " run " + std::to_string(run) + " starts on " + worker.id + " while run " + std::to_string(other.run) + " on "
                                     + other.worker + (other.ended < 0 ? " is at work" : " has ended done and its end was taken note of"));
                m_record.line("TWICE: " + m_breaches.back());
            }
        }
        const std::string spec = body.value("spec", "");
        const std::size_t found = spec.find("ms=");
        m_runs.push_back(Run{task, run, worker.id, nowMs(), -1, "", false});
        worker.live[task] = Live{run, spec, nowMs(), found == std::string::npos ? 500 : std::stoll(spec.substr(found + 3)), m_runs.size() - 1};
        m_record.line(worker.id + ": starts " + task + " run " + std::to_string(run) + " with fencing token " + std::to_string(token));
        return answer(worker, 200, Json::object());
    }
    if (request.path == "/run-stop") {
        const std::string task = body.value("task", "");
        const std::uint64_t run = body.value("run", std::uint64_t(0));
        const auto live = worker.live.find(task);
        if (live != worker.live.end() && live->second.run == run) {
            end(worker, task, "stopped");
        }
        worker.highest[task] = std::max(worker.highest[task], run);
        return answer(worker, 200, Json::object());
    }
    if (request.path != "/hold") {
        return {404, "{}"};
    }
    const std::uint64_t cursor = body.value("ack_cursor", std::uint64_t(0));
    for (const End &listed : worker.ends) {
        if (listed.number <= cursor) {
            m_runs[listed.entry].noted = true;
        }
    }
    worker.ends.erase(std::remove_if(worker.ends.begin(), worker.ends.end(), [cursor](const End &listed) { return listed.number <= cursor; }),
                      worker.ends.end());
    if (deadline > 0) {
        extend();
    }
    const std::int64_t until = nowMs() + std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000);
    while (worker.ends.empty() && nowMs() < until && !m_stopped && worker.isUp) {
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    Json lists = {{"running", Json::array()}, {"finished", Json::array()}};
    for (const auto &[task, live] : worker.live) {
        const std::int64_t percent = std::min<std::int64_t>(100, (nowMs() - live.started) * 100 / std::max<std::int64_t>(live.lasts, 1));
        lists["running"].push_back({task, live.run, "", percent, 0});
    }
    for (const End &listed : worker.ends) {
        if (lists["finished"].size() < 500) {
            lists["finished"].push_back({listed.number, listed.task, listed.run, listed.how, ""});
        }
    }
    return answer(worker, 200, lists);
}

void Workers::tick()
{
    for (;;) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopped) {
                return;
            }
            for (const auto &worker : m_workers) {
                std::vector<std::pair<std::string, std::string>> over;
                for (const auto &[task, live] : worker->live) {
                    if (worker->leaseEnd < nowMs()) {
                        over.emplace_back(task, "lapsed");
                    } else if (live.started + live.lasts <= nowMs()) {
                        over.emplace_back(task, "done");
                    }
                }
                for (const auto &[task, how] : over) {
                    end(*worker, task, how);
                }
            }
        }
        sleepMs(2);
    }
}

void Workers::report()
{
    std::int64_t next = 0;
    for (;;) {
        if (nowMs() >= next) {
            next = nowMs() + 1500;
            std::vector<std::pair<std::string, Json>> rows;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                for (const auto &worker : m_workers) {
                    if (!worker->isUp) {
                        continue;
                    }
                    rows.emplace_back(worker->id,
                                      Json{{"backend", "desk"},
                                           {"address", worker->server->address()},
                                           {"zone", worker->index % 2 == 0 ? "a" : "b"},
                                           {"version", "1"},
                                           {"slots", 8},
                                           {"state", "ready"},
                                           {"sequence", ++worker->sequence},
                                           {"born", worker->born},
                                           {"labels", {"a", "r" + std::to_string(worker->index % 2)}},
                                           {"machine", "m" + std::to_string(worker->index)},
                                           {"capacity", {{"cpu", m_cpu}, {"mem_mb", m_memory}, {"gpu", 0}}}});
                }
            }
            for (const auto &[id, row] : rows) {
                m_store.put("servers", id, row.dump());
            }
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopped) {
                return;
            }
        }
        sleepMs(10);
    }
}

Nodes::Nodes(Record &record, Store &store, const std::string &program, const std::string &folder, int count)
    : m_record(record), m_store(store), m_program(program), m_folder(folder)
{
    Json zones = {{"a", "north"}, {"b", "north"}};
    for (int i = 0; i < count; ++i) {
        Node node;
        node.name = "edge-" + std::to_string(i);
        node.file = folder + "/" + node.name + ".json";
        const int internal = freePort();
        node.settings = {{"node", node.name},
                         {"role", "node"},
                         {"machine_class", "edge"},
                         {"serves", {"edge"}},
                         {"ip", "127.0.0.1"},
                         {"zone", i % 2 == 0 ? "a" : "b"},
                         {"region", "north"},
                         {"zones", zones},
                         {"listen_addrs",
                          {{"frontend_addr", "127.0.0.1:" + std::to_string(freePort())}, {"readiness_addr", "127.0.0.1:" + std::to_string(freePort())}}},
                         {"internal_ports", {internal, internal}},
                         {"seeds", Json::array()},
                         {"bootstrap", true},
                         {"counts_as_loss", false},
                         {"limits", {{"cpu_share", 0.5}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
                         {"discovery", "platform"},
                         {"entrypoint", "vip"},
                         {"heartbeat_ms", 1500},
                         {"fault_tolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
                         {"bounds",
                          {{"contact_ms", 3000},
                           {"ack_timeout_ms", 4000},
                           {"drain_ms", 2000},
                           {"grace_s", 6},
                           {"config_apply_ms", 2000},
                           {"revoke_ms", 5000},
                           {"max_hold_ms", 6000},
                           {"stop_timeout_ms", 200},
                           {"gang_timeout_ms", 3000},
                           {"cancel_ms", 3000},
                           {"visible_ms", 3000},
                           {"early_ms", 250},
                           {"finish_s", 14},
                           {"status_s", 120},
                           {"spread_factor", 2},
                           {"checkpoint_s", 0.5},
                           {"restore_ms", 600}}},
                         {"orders", "invocation"},
                         {"platform",
                          {{"address", store.address(i)},
                           {"form", "table"},
                           {"writes_per_s", 600},
                           {"reads_per_s", 2000},
                           {"tx_ms", 5.0},
                           {"part_writes_per_s", 200},
                           {"row_bytes", 65536},
                           {"across", false},
                           {"history_s", 20}}}};
        m_nodes.push_back(std::move(node));
    }
    for (int i = 0; i < count; ++i) {
        writeSettings(i);
    }
}

Nodes::~Nodes()
{
    for (int i = 0; i < count(); ++i) {
        if (isRunning(i)) {
            ::kill(m_nodes[static_cast<std::size_t>(i)].pid, SIGKILL);
            (void)wait(i, 2000);
        }
    }
}

void Nodes::writeSettings(int index, const std::function<void(Json &)> &change)
{
    Node &node = m_nodes.at(static_cast<std::size_t>(index));
    if (change) {
        change(node.settings);
    }
    std::ofstream(node.file) << node.settings.dump();
}

void Nodes::start(int index)
{
    Node &node = m_nodes.at(static_cast<std::size_t>(index));
    const std::string log = m_folder + "/" + node.name + ".log";
    const std::string setting = "KINGCUPLADDER_BOOT=" + node.file;
    std::vector<char *> variables;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.push_back(*variable);
    }
    variables.push_back(const_cast<char *>(setting.c_str()));
    variables.push_back(nullptr);
    std::array<char *, 2> words{const_cast<char *>(m_program.c_str()), nullptr};
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    node.pid = ::fork();
    if (node.pid == 0) {
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execve(m_program.c_str(), words.data(), variables.data());
        ::_exit(127);
    }
    ::close(out);
    node.status = -1;
    m_record.line("platform: starts " + node.name);
}

void Nodes::kill(int index, int signal)
{
    Node &node = m_nodes.at(static_cast<std::size_t>(index));
    m_record.line("platform: signal " + std::to_string(signal) + " to " + node.name);
    if (node.pid > 0) {
        ::kill(node.pid, signal);
    }
}

bool Nodes::isRunning(int index)
{
    Node &node = m_nodes.at(static_cast<std::size_t>(index));
    if (node.pid <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(node.pid, &status, WNOHANG) == node.pid) {
        node.status = status;
        node.pid = -1;
        return false;
    }
    return true;
}

int Nodes::wait(int index, int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (isRunning(index) && nowMs() < until) {
        sleepMs(5);
    }
    return m_nodes.at(static_cast<std::size_t>(index)).status;
}

std::string Nodes::client(int node) const
{
    return m_nodes.at(static_cast<std::size_t>(node)).settings["listen_addrs"]["frontend_addr"].get<std::string>();
}

std::string Nodes::name(int node) const
{
    return m_nodes.at(static_cast<std::size_t>(node)).name;
}

bool Nodes::isReady(int node) const
{
    return request(m_nodes.at(static_cast<std::size_t>(node)).settings["listen_addrs"]["readiness_addr"].get<std::string>(), "GET", "/ready", "", 500).status
        == 200;
}

bool Nodes::waitReady(int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (int i = 0; i < count(); ++i) {
        while (!isReady(i)) {
            if (nowMs() > until) {
                return false;
            }
            sleepMs(50);
        }
    }
    return true;
}

int Nodes::count() const
{
    return static_cast<int>(m_nodes.size());
}

int Nodes::leader() const
{
    const std::string row = m_store.get("cell", "", "leader");
    int found = -1;
    std::size_t first = std::string::npos;
    for (int i = 0; i < count(); ++i) {
        const std::size_t at = row.find(name(i));
        if (at < first) { // The holder stands before the members.
            first = at;
            found = i;
        }
    }
    return found;
}

void writeConfig(Store &store, int version)
{
    const Json route = {{"name", "jobs"},
                        {"host", host},
                        {"path_prefix", "/jobs/"},
                        {"backend", "desk"},
                        {"priority", 1},
                        {"attempts", 3},
                        {"stretch", 20},
                        {"target_latency_ms", 20000}};
    Json config = {{"version", version}, {"routes", {route}}, {"services", {{{"name", "desk"}, {"enforces_capacity", false}}}}};
    config["tenants"] = {{{"name", "museum"}, {"api_keys", {key}}, {"weight", 1000}, {"maximum", Json::object()}}};
    store.put("op", "config", config.dump());
}

std::string jobId(int number)
{
    // Spread over the whole range, as clients choose them.
    std::uint64_t value = static_cast<std::uint64_t>(number) * 0x9e3779b97f4a7c15ULL + 0x5c0e7a21d94b36f8ULL;
    value ^= value >> 29U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 32U;
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

Json oneStep(int count, int cpu, int memory, int ms)
{
    return {{"spec", "ms=" + std::to_string(ms)}, {"steps", {{{"count", count}, {"cpu", cpu}, {"mem_mb", memory}, {"estimate_ms", ms}}}}};
}

ClientAnswer submit(Record &record, const std::string &client, const std::string &id, const Json &job)
{
    const ClientAnswer answer = request(client, "POST", "/jobs/" + id, job.dump(), 3000);
    record.line("client: POST " + id + " -> " + std::to_string(answer.status));
    return answer;
}

ClientAnswer state(Record &record, const std::string &client, const std::string &id)
{
    const ClientAnswer answer = request(client, "GET", "/jobs/" + id, "", 3000);
    record.line("client: GET " + id + " -> " + std::to_string(answer.status)
                + (answer.status == 200 && answer.body.is_object() ? " " + answer.body.value("state", "") : ""));
    return answer;
}

} // namespace Review
