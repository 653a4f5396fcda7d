// Real processes of one test: a platform stand-in, worker stand-ins and daemons on loopback, and plain HTTP to all of them.
#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder::ProcessTest {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Repeats the condition every 20 ms until it holds; false once the bound has passed.
[[nodiscard]] bool waitFor(const std::function<bool()> &condition, Millis maxWait);

/// A loopback address with a port that is free now and outside the range of outgoing connections.
[[nodiscard]] std::string freeAddress();

struct HttpResult {
    int status = 0; ///< 0: no complete answer.
    bool connected = false; ///< False: the connection was refused, so that nothing was sent.
    std::string body;
    std::string requestId; ///< Of the X-Request-Id header.

    /// The body as JSON; an empty object if it is none.
    [[nodiscard]] Json json() const;
};

struct HttpMessage {
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key; ///< Sent as bearer key unless it is empty.
    Millis timeout{8000};
};

/// One request on a connection of its own. An answer that is shorter than its Content-Length has status 0.
[[nodiscard]] HttpResult http(const std::string &address, const HttpMessage &message);

/// A child process; killed by its id at the end of its life.
class Process
{
public:
    Process(const std::vector<std::string> &arguments, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// The exit code once the process has ended by itself; empty if the bound passes first or a signal ended it.
    [[nodiscard]] std::optional<int> exitCode(Millis maxWait);
    [[nodiscard]] bool isRunning() const;

private:
    pid_t m_pid = -1;
};

struct DaemonProcess {
    std::string id;
    std::string http;
    std::string settingsFile;
    std::unique_ptr<Process> process;
};

/// Entries "north-1", "north-2" and "south-1", workers "w1" and "w2" in north, "w3" and "w4" in south; tables are applied, a key of team
/// "guides" is given and both shards have an owner.
class Fleet
{
public:
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Empty if the fleet is ready; otherwise what failed.
    [[nodiscard]] std::string start();
    /// Starts daemons that have ended and waits until the fleet is ready again; empty, or what failed.
    [[nodiscard]] std::string restore();

    [[nodiscard]] HttpResult requestAsOperator(std::size_t daemon, const std::string &method, const std::string &target, const Json &body = {}) const;
    [[nodiscard]] HttpResult requestAsTeam(std::size_t daemon, const std::string &method, const std::string &target, const std::string &body = {}) const;
    [[nodiscard]] HttpResult submit(std::size_t daemon, const std::string &id, const std::string &route, int tasks, int runMs) const;
    /// The state of a job of the team, asked at this daemon; empty if it is not answered.
    [[nodiscard]] std::string jobState(std::size_t daemon, const std::string &id) const;
    void setPlatformFault(const std::string &mode) const;
    [[nodiscard]] bool isReady(std::size_t daemon) const;
    void startDaemon(std::size_t daemon);

    /// Tasks of a job of the team in the logs of all workers.
    [[nodiscard]] std::vector<Json> tasksOf(const std::string &id) const;
    /// Everything that the workers have found wrong; empty array if nothing.
    [[nodiscard]] Json violations() const;
    /// The daemon that owns a shard, from the answer of this daemon.
    [[nodiscard]] std::optional<std::size_t> ownerOf(std::size_t asked, const std::string &shard) const;

    std::vector<DaemonProcess> daemons;
    std::string teamKey;

private:
    [[nodiscard]] std::string program(const std::string &path) const;
    [[nodiscard]] std::string startStandIns();
    [[nodiscard]] std::string startDaemons();
    [[nodiscard]] std::string configure();
    [[nodiscard]] std::string waitUntilReady() const;

    std::string m_directory;
    std::string m_buildDirectory;
    std::string m_platform;
    std::vector<std::string> m_workers; ///< Addresses.
    std::vector<std::unique_ptr<Process>> m_standIns;
};

extern const char *const routesYaml;
extern const char *const poolsYaml;

} // namespace KingCupLadder::ProcessTest
