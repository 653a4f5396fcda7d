// Stand-ins of one small deployment for the cases of the third review: the platform's store, workers, clients, and the processes of the
// system under test. Everything listens on 127.0.0.1; each connection is served by a thread of its own, and one mutex guards all state.
#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

std::int64_t nowMs(); ///< Since the start of this program.
void sleepMs(std::int64_t ms);
std::string toBase64(const std::string &bytes);
std::string fromBase64(const std::string &text);

/// Writes one line with the time to the record of the case. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Request {
    std::string method;
    std::string path; ///< Without the query.
    std::string query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Response {
    int status = 0; ///< 0: no response; the connection stays open and silent.
    std::string body;
};

/// An HTTP/1.1 server on a free port.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;
    explicit Server(Handler handler);
    [[nodiscard]] std::string address() const;
    [[nodiscard]] int port() const;
    /// While refusing, connections are reset.
    void setRefusing(bool refusing);
    /// While cut, nothing that arrives is read and nothing is answered. Bytes that arrived meanwhile are lost with their connections when
    /// the cut ends, as if their sender had reset them.
    void setCut(bool cut);

private:
    void acceptAll();
    void serve(int fd);

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::mutex m_mutex;
    bool m_cut = false;
    bool m_refusing = false;
    std::uint64_t m_cuts = 0;
};

int freePort();

struct ClientAnswer {
    int status = 0; ///< 0: no answer.
    Json body;
};

ClientAnswer request(const std::string &address, const std::string &method, const std::string &path, const std::string &body, int timeoutMs);

/// The platform's metadata store. Each node of the system has its own port to it.
class Store
{
public:
    using WriteFilter = std::function<bool(int node, const Json &transaction)>; ///< Returns true if the call gets no answer and is performed later.

    explicit Store(Record &record, int nodes);
    [[nodiscard]] std::string address(int node) const;
    Server &link(int node);
    /// A write of the operator or of a worker.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    [[nodiscard]] std::string get(const std::string &table, const std::string &part, const std::string &key);
    /// Performs the calls that the filter has held back, if their conditions still hold.
    int performHeld();
    WriteFilter holdsBack; ///< Called with the state locked.

private:
    using Key = std::array<std::string, 3>;
    struct Row {
        std::string value; ///< As sent: base64.
        std::uint64_t version = 0;
    };
    struct Change {
        std::uint64_t version = 0;
        Key key;
        std::string value;
        bool deleted = false;
    };

    Response serve(int node, const Request &request);
    Response transact(const Json &body);
    [[nodiscard]] static Json rowJson(const Key &key, const std::string &value, std::uint64_t version, bool deleted);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::vector<Change> m_history;
    std::uint64_t m_version = 1;
    std::vector<Json> m_held;
    std::vector<std::unique_ptr<Server>> m_servers;
};

/// All workers of one service. The work of a task lasts as long as its spec says: "ms=NUMBER".
class Workers
{
public:
    struct Run {
        std::string task;
        std::uint64_t run = 0;
        std::string worker;
        std::int64_t started = 0;
        std::int64_t ended = -1;
        std::string how;
        bool noted = false; ///< Its end was taken note of.
    };

    Workers(Record &record, Store &store, int count, int cpu, int memory);
    ~Workers();
    Server &link(int worker);
    [[nodiscard]] std::string id(int worker) const;
    [[nodiscard]] std::vector<Run> runs();
    /// Runs of a task that are at work now.
    [[nodiscard]] std::vector<Run> atWork(const std::string &task);
    /// Breaches of TWICE that were seen: two runs of a task at once, or a start after an end `done` that was taken note of.
    [[nodiscard]] std::vector<std::string> breaches();
    /// The worker crashes: all of its runs are gone, and it refuses connections and doesn't report until it is started again.
    void crash(int worker);
    /// It starts again under its id. It holds and knows nothing of before.
    void startAgain(int worker);

private:
    struct Live {
        std::uint64_t run = 0;
        std::string spec;
        std::int64_t started = 0;
        std::int64_t lasts = 0;
        std::size_t entry = 0; ///< In m_runs.
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t entry = 0;
    };
    struct Worker {
        std::string id;
        int index = 0;
        std::int64_t born = 0;
        std::uint64_t token = 0;
        std::uint64_t sequence = 0;
        std::int64_t leaseEnd = 0;
        std::uint64_t endNumber = 0;
        bool isUp = true;
        std::map<std::string, Live> live;
        std::map<std::string, std::uint64_t> highest;
        std::vector<End> ends;
        std::unique_ptr<Server> server;
    };

    Response serve(Worker &worker, const Request &request);
    void end(Worker &worker, const std::string &task, const std::string &how);
    [[nodiscard]] Response answer(const Worker &worker, int status, Json body) const;
    void tick();
    void report();

    Record &m_record;
    Store &m_store;
    int m_cpu;
    int m_memory;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<Run> m_runs;
    std::vector<std::string> m_breaches;
    bool m_stopped = false;
    std::vector<std::thread> m_threads;
};

/// The processes of the system under test, one for each machine.
class Nodes
{
public:
    Nodes(Record &record, Store &store, const std::string &program, const std::string &folder, int count);
    ~Nodes();
    /// Writes the settings file of a machine. @p change may alter the fields.
    void writeSettings(int node, const std::function<void(Json &)> &change = nullptr);
    void start(int node);
    void kill(int node, int signal);
    /// Waits until the process has ended; returns its wait status, or -1.
    int wait(int node, int timeoutMs);
    [[nodiscard]] bool isRunning(int node);
    [[nodiscard]] std::string client(int node) const;
    [[nodiscard]] std::string name(int node) const;
    [[nodiscard]] bool isReady(int node) const;
    [[nodiscard]] bool waitReady(int timeoutMs);
    [[nodiscard]] int count() const;
    /// The machine that leads according to the cell's row in the store, or -1. Not used for any verdict.
    [[nodiscard]] int leader() const;

private:
    struct Node {
        std::string name;
        Json settings;
        std::string file;
        pid_t pid = -1;
        int status = -1;
    };
    Record &m_record;
    Store &m_store;
    std::string m_program;
    std::string m_folder;
    std::vector<Node> m_nodes;
};

void writeConfig(Store &store, int version);
std::string jobId(int number);
Json oneStep(int count, int cpu, int memory, int ms);
ClientAnswer submit(Record &record, const std::string &client, const std::string &id, const Json &job);
ClientAnswer state(Record &record, const std::string &client, const std::string &id);

} // namespace Review
