// Settings that a daemon can't learn from the platform. Read from a YAML file and validated as a whole.
#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "log.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// CURVE key pair of the fleet in Z85. All daemons use the same pair and accept only peers that have its secret key.
struct CurveKeys {
    std::string publicKey;
    std::string secretKey;
};

struct DaemonSettings {
    DaemonId daemon;
    FailureDomain domain;
    std::string httpAddress; ///< "ip:port" for callers, not for workers.
    std::string peerAddress; ///< "ip:port" of the ZeroMQ socket.
    std::vector<std::string> seeds; ///< Initial peer addresses.
    std::string platformAddress; ///< "ip:port".
    std::string operatorKeyDigest; ///< SHA-256 of the operators' key, 64 lower-case hexadecimal digits.
    std::optional<CurveKeys> curve;
    LogLevel logLevel = LogLevel::Info;
    std::map<LogComponent, LogLevel> logLevels;

    Duration storeTimeout{1500};
    Duration workerTimeout{1000};
    Duration leaseTerm{6000}; ///< Duration of the lease row in the store, on which the ownership of shards depends.
    Duration leaseMargin{1000}; ///< The daemon gives up its lease this long before the end of the term; other daemons wait this long after it.
    Duration heartbeatInterval{500};
    Duration peerTimeout{2500}; ///< A peer without heartbeats for this long is considered down.
    Duration keyBound{5000}; ///< A withdrawn key stops working within this time.
    Duration admissionTimeout{5000}; ///< Every job submission is answered within this time.
    Duration syncInterval{250};
    Duration taskTerm{10000}; ///< Lease term of tasks with PartitionPolicy::Move.
    Duration requestDeadline{30000}; ///< Default for routes without a deadline.
    Duration clientIdle{60000}; ///< Caller connections are closed after this time without traffic.
    Duration drainWait{10000}; ///< Time between reporting "not ready" and refusing new work.
    Duration finishWait{30000}; ///< Longest wait for requests in flight after drainWait.

    std::uint64_t maxBody = 8UL * 1024 * 1024; ///< Bytes of a request body.
    std::uint64_t maxHeaders = 32UL * 1024; ///< Bytes of a request's headers.
    std::uint64_t maxActiveRequests = 20000; ///< Concurrent requests of all teams.
    std::uint64_t maxActivePerTeam = 4000; ///< Waiting and running requests of one team.
    std::uint64_t memoryLimit = 0; ///< Bytes that the process may use; 0: the memory of the machine.
    std::uint64_t descriptorLimit = 0; ///< Descriptors that the process may use; 0: the limit of the operating system for the process.
    std::uint64_t platformConnections = 6;
    std::uint64_t workerConnections = 8; ///< Connections to the application on one worker.
};

struct SettingsProblem {
    int line = 0; ///< Starts at 1; 0 if the problem concerns the whole file.
    std::string message;
    std::string remedy;

    /// "file:line: message; remedy".
    [[nodiscard]] std::string text(const std::string &file) const;
};

/// The result of reading settings.
struct SettingsResult {
    std::optional<DaemonSettings> settings; ///< Set if and only if there are no problems.
    std::vector<SettingsProblem> problems;
};

/// Parses and validates settings; reports all problems at once.
[[nodiscard]] SettingsResult parseSettings(const std::string &yaml);

/// Reads and validates a file.
[[nodiscard]] SettingsResult readSettings(const std::string &path);

} // namespace KingCupLadder
