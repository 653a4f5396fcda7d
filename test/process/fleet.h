// Test fixture with real processes on loopback: a platform stand-in, worker stand-ins and daemons, and an HTTP client for them.
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

/// Polls the condition every 20 ms until it holds. Returns false after @p maxWait.
[[nodiscard]] bool waitFor(const std::function<bool()> &condition, Millis maxWait);

/// Returns a loopback address with a port that is currently free and outside the ephemeral port range.
[[nodiscard]] std::string freeAddress();

struct HttpResult {
    int status = 0; ///< 0 if no complete response was received.
    bool connected = false; ///< False if no connection was made, so that nothing was sent.
    std::string body;
    std::string requestId; ///< Value of the X-Request-Id header.

    /// Parses the body as JSON. Returns an empty object if that fails.
    [[nodiscard]] Json json() const;
};

struct HttpMessage {
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key; ///< Sent as a bearer token unless it is empty.
    Millis timeout{8000};
};

/// Sends one request on a new connection. A response whose body does not match its Content-Length has status 0.
[[nodiscard]] HttpResult http(const std::string &address, const HttpMessage &message);

/// Child process that is killed when the object is destroyed.
class Process
{
public:
    Process(const std::vector<std::string> &arguments, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Waits for the process to exit and returns its exit code. Empty after @p maxWait or if a signal terminated the process.
    [[nodiscard]] std::optional<int> exitCode(Millis maxWait);
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] pid_t pid() const; ///< -1 after the process was waited for.

private:
    pid_t m_pid = -1;
};

struct DaemonProcess {
    std::string id;
    std::string httpAddress;
    std::string peerAddress;
    std::string settingsFile;
    std::unique_ptr<Process> process;
};

/// Settings that a fleet adds to those of all its daemons.
struct FleetSettings {
    std::string http; ///< Entries of the section http, such as ", maxBody: 1MiB".
    std::string lines; ///< Further lines.
};

/// Fleet of the daemons "north-1", "north-2" and "south-1" with the workers "w1" and "w2" in north and "w3" and "w4" in south. After
/// start(), the tables are applied, the team "guides" has a key and both shards have an owner. The log files are kept if the
/// environment variable LADDER_KEEP_LOGS is set.
class ProcessFleet
{
public:
    explicit ProcessFleet(FleetSettings settings = {});
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    /// Starts all processes and waits until the fleet is ready. Returns an empty string, or what failed.
    [[nodiscard]] std::string start();
    /// Restarts daemons that have exited and waits until the fleet is ready. Returns an empty string, or what failed.
    [[nodiscard]] std::string restore();

    [[nodiscard]] HttpResult requestAsOperator(std::size_t daemon, const std::string &method, const std::string &target, const Json &body = {}) const;
    [[nodiscard]] HttpResult requestAsTeam(std::size_t daemon, const std::string &method, const std::string &target, const std::string &body = {}) const;
    [[nodiscard]] HttpResult submit(std::size_t daemon, const std::string &id, const std::string &route, int tasks, int runMs) const;
    /// Returns the state of a job as reported by @p daemon, or an empty string if it reports none.
    [[nodiscard]] std::string jobState(std::size_t daemon, const std::string &id) const;
    void setPlatformFault(const std::string &mode) const;
    [[nodiscard]] bool isReady(std::size_t daemon) const;
    void startDaemon(std::size_t daemon);

    /// Returns the tasks of a job from the logs of all workers.
    [[nodiscard]] std::vector<Json> tasksOf(const std::string &id) const;
    /// Returns the violations that all workers have logged; an empty array if there are none.
    [[nodiscard]] Json violations() const;
    /// Returns the index of the daemon that owns a shard, as reported by the daemon @p asked.
    [[nodiscard]] std::optional<std::size_t> ownerOf(std::size_t asked, const std::string &shard) const;

    std::vector<DaemonProcess> daemons;
    std::string teamKey;

private:
    [[nodiscard]] std::string program(const std::string &path) const;
    [[nodiscard]] std::string startStandIns();
    [[nodiscard]] std::string startDaemons();
    [[nodiscard]] std::string configure();
    [[nodiscard]] std::string waitUntilReady() const;

    FleetSettings m_settings;
    std::string m_directory;
    std::string m_buildDirectory;
    std::string m_platformAddress;
    std::vector<std::string> m_workerAddresses;
    std::vector<std::unique_ptr<Process>> m_standIns;
};

extern const char *const routesYaml;
extern const char *const poolsYaml;

} // namespace KingCupLadder::ProcessTest
