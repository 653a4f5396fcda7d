// Stand-ins for the platform's store, workers, clients and operator, all in one process, and a starter of the daemons under test.
// They speak HTTP/1.1 on 127.0.0.1 as the users' PROTOCOL page describes, and write what they see to a record.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Review {

using nlohmann::json;

/// Steady time in milliseconds.
std::int64_t nowMs();
std::int64_t unixMs();

/// The event loop, timers and the record.
class Loop
{
public:
    explicit Loop(const std::string &recordPath);
    ~Loop();
    event_base *base() const
    {
        return m_base;
    }
    void after(std::int64_t ms, std::function<void()> function);
    void every(std::int64_t ms, std::function<void()> function);
    /// Runs until stop() is called.
    void run();
    void stop();
    /// Milliseconds since the loop was created.
    std::int64_t elapsed() const
    {
        return nowMs() - m_start;
    }
    void record(const std::string &line);

private:
    event_base *m_base;
    std::int64_t m_start;
    std::ofstream m_record;
};

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string expectedInstance; ///< X-Expect-Instance
    std::string body;
    evhttp_request *raw = nullptr;
    const void *connection = nullptr;
};

/// An HTTP server on a port of 127.0.0.1 that can be closed, which resets its connections, and opened again on the same port.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &)>;
    HttpServer(Loop &loop, Handler handler);
    ~HttpServer();
    void open();
    void close();
    bool isOpen() const
    {
        return m_http != nullptr;
    }
    int port() const
    {
        return m_port;
    }
    /// Changes with each close(); a reply to a request of an earlier generation must not be sent.
    int generation() const
    {
        return m_generation;
    }
    static void reply(evhttp_request *request, int status, const json &body);

private:
    Loop &m_loop;
    Handler m_handler;
    evhttp *m_http = nullptr;
    int m_port = 0;
    int m_generation = 0;
};

/// Returns a port that is free now, outside the range of ephemeral ports.
int freePort();

enum class StoreFault { None, Busy, Silent };

/// The platform's store: rows with versions, transactions, range reads and a feed. It refuses rows and transactions above its limits.
class Store
{
public:
    explicit Store(Loop &loop);
    /// Opens one more port; each daemon gets its own, so that a fault can hit the connections of one daemon.
    int addPort();
    void setFault(StoreFault fault)
    {
        m_fault = fault;
    }
    /// The connection on which the port next gets a read of the table goes silent: requests on it are never answered.
    void silenceConnection(int port, const std::string &table)
    {
        m_silenceNext[port] = table;
    }
    /// A write by the operator or a worker. Returns false while the store is faulty.
    bool put(const std::string &table, const std::string &key, const json &value);
    void remove(const std::string &table, const std::string &key);
    /// Repeats rows of the table under other keys until there are @p count more, as the daemons leave them behind in the course of time.
    int repeatRows(const std::string &table, int count);
    std::size_t refusedRows() const
    {
        return m_refusedRows;
    }

    static constexpr std::size_t maxRowBytes = 65536;

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value; ///< Base64.
        std::uint64_t version = 0;
    };
    struct Change {
        std::uint64_t version;
        Key key;
        bool deleted;
    };
    struct Feed {
        HttpRequest request;
        int port;
        int generation;
        std::string table;
        std::uint64_t after;
        std::int64_t deadline;
    };
    struct Port {
        std::unique_ptr<HttpServer> server;
        std::set<const void *> silent;
    };

    void handle(int port, const HttpRequest &request);
    void answer(int port, int generation, const HttpRequest &request);
    json rowJson(const Key &key, bool deleted = false) const;
    void transact(const HttpRequest &request);
    void write(const Key &key, const std::string &value);
    void erase(const Key &key);
    bool answerFeed(const Feed &feed, bool isDue);
    void answerFeeds();

    Loop &m_loop;
    StoreFault m_fault = StoreFault::None;
    std::map<int, Port> m_ports;
    std::map<int, std::string> m_silenceNext;
    std::map<Key, Row> m_rows;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::vector<Feed> m_feeds;
    std::size_t m_refusedRows = 0;
};

struct TaskName {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};
TaskName parseTask(const std::string &name);

/// What workers have seen, for the checks of a scenario.
struct History {
    struct Done {
        std::string worker;
        std::int64_t at;
        bool isNoted = false;
    };
    struct Start {
        std::string worker;
        std::uint64_t run;
        std::int64_t at;
        std::int64_t endedAt = 0; ///< 0: still running.
        std::string how;
    };
    std::map<std::string, std::vector<Done>> done; ///< By task.
    std::map<std::string, std::vector<Start>> starts; ///< By task.

    /// The breaches of TWICE: a start after an end `done` that was taken note of, or two runs of one task at a time.
    std::vector<std::string> twice() const;
    int ends(const std::string &job, const std::string &how) const;
    std::size_t startsOf(const std::string &job) const;
    std::int64_t lastEndOf(const std::string &job) const;
    bool isRunning(const std::string &job) const;
};

/// The gangs at work: their tasks work from the moment when all of one run are present, and end together.
struct Gang {
    int count = 0; ///< Tasks of the step; 0: not a gang.
    struct Member {
        std::string task;
        class Worker *worker;
    };
    std::map<std::uint64_t, std::vector<Member>> present; ///< By run.
};

struct TaskPlan {
    std::int64_t ms = 300;
    std::string end = "done";
};
using Planner = std::function<TaskPlan(const std::string &task, std::uint64_t run)>;

class Worker
{
public:
    Worker(Loop &loop,
           Store &store,
           History &history,
           std::map<std::string, Gang> &gangs,
           std::string id,
           std::string machine,
           Planner planner,
           std::int64_t ahead = 0);
    /// The process ends at once; what runs on it is lost.
    void crash();
    /// The process starts again under the same id.
    void restart();
    bool isUp() const
    {
        return m_server.isOpen();
    }
    const std::string &id() const
    {
        return m_id;
    }
    std::size_t running() const
    {
        return m_running.size();
    }
    std::size_t unacknowledged() const
    {
        return m_ended.size();
    }
    void beat();

    std::int64_t cpu = 16000;
    std::int64_t memory = 65536;
    std::int64_t clockAhead = 0; ///< By how much the time of day of the worker's machine is ahead; seen in `born`.
    static constexpr std::int64_t maxHoldMs = 6000;

private:
    struct Run {
        std::uint64_t run;
        std::int64_t endsAt;
        std::string how;
        std::int64_t startedAt;
    };
    static constexpr std::int64_t gangTimeoutMs = 3000;
    struct Ended {
        std::uint64_t number;
        std::string task;
        std::uint64_t run;
        std::string how;
        std::int64_t at;
        std::size_t doneIndex; ///< Index in History::done, if how is done.
    };
    struct Held {
        HttpRequest request;
        int generation;
        std::int64_t deadline;
    };

    std::int64_t clock() const
    {
        return nowMs() - m_clockStart;
    }
    void handle(const HttpRequest &request);
    void start(const HttpRequest &request, const json &body);
    void stop(const HttpRequest &request, const json &body);
    void hold(const HttpRequest &request, const json &body);
    void answerHold(const HttpRequest &request);
    void end(const std::string &task, const std::string &how);
    void joinGang(const std::string &task, std::uint64_t run, std::int64_t workMs);
    /// Breaks the gang of a run that has ended otherwise than with all others.
    void leaveGang(const std::string &task, std::uint64_t run, const std::string &how);
    void extend(std::int64_t deadline);
    void tick();
    bool isFenced(const json &body);

    Loop &m_loop;
    Store &m_store;
    History &m_history;
    std::map<std::string, Gang> &m_gangs;
    std::string m_id;
    std::string m_machine;
    Planner m_planner;
    HttpServer m_server;
    std::int64_t m_born = 0;
    std::int64_t m_clockStart = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_lapsedAt = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, Run> m_running;
    std::vector<Ended> m_ended;
    std::map<std::string, std::uint64_t> m_highestEnded; ///< By task: highest run stopped or ended here.
    std::vector<Held> m_held;
};

/// One daemon under test, started with the command of the deploy file.
class Node
{
public:
    Node(Loop &loop, Store &store, std::string name, std::string directory);
    ~Node();
    void choosePorts();
    void start(bool isBootstrap);
    void kill();
    bool isRunning() const
    {
        return m_pid > 0;
    }
    /// Returns true once, when the process has ended by itself.
    bool hasEnded();
    int port() const
    {
        return m_callerPort;
    }
    int storePort() const
    {
        return m_storePort;
    }
    const std::string &name() const
    {
        return m_name;
    }
    /// Memory of the process; 0 if it does not run.
    std::size_t residentKb() const;
    /// How often the daemon has begun to lead, by its log.
    int leaderships() const;
    std::string logPath() const
    {
        return m_directory + "/" + m_name + ".log";
    }

private:
    Loop &m_loop;
    std::string m_name;
    std::string m_directory;
    int m_callerPort = 0;
    int m_readyPort = 0;
    int m_peerPort = 0;
    int m_storePort;
    pid_t m_pid = 0;
};

using Response = std::function<void(int status, const std::string &body)>; ///< Status 0: no answer.
/// Sends one request on a new connection.
void call(Loop &loop, int port, const std::string &method, const std::string &path, const std::string &body, std::int64_t timeoutMs, Response response);

/// A cell with a store, workers, daemons, one tenant and one queue.
class World
{
public:
    World(const std::string &directory, const std::string &recordPath);
    ~World();

    Loop loop;
    Store store;
    History history;
    std::map<std::string, Gang> gangs; ///< By ID.K.STEP.
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Node>> nodes;
    Planner planner;

    void addWorkers(int count, std::int64_t clockAhead = 0);
    void addNodes(int count);
    /// Writes the next version of the configuration. @p withRoute: whether it has the queue.
    void writeConfig(bool withRoute);
    void startNodes();
    /// Calls @p ready once all daemons are ready and one of them leads.
    void whenReady(std::function<void()> ready, int attempts = 200);
    /// Hands a job in, again and again until it is accepted. @p accepted gets false if all attempts failed.
    void submit(const std::string &id, const json &body, std::function<void(bool)> accepted, int attempts = 20);
    /// Asks for the job's state, by default at any node that answers; "" if no node answers with a state.
    void state(const std::string &id, std::function<void(const std::string &state)> result, int attempts = 8);
    static std::string jobId(std::uint64_t number);
    /// The name of the node that holds the lead, from the daemons' metrics; not used for any verdict.
    std::string leaderFromLogs() const;
    Node &nextNode();

    static constexpr int attemptsOfQueue = 3;

private:
    std::string m_directory;
    std::uint64_t m_configVersion = 0;
    std::size_t m_nextNode = 0;
};

} // namespace Review
