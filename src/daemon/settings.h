// The settings of one daemon: what a process can't learn from the platform. Read from a YAML file and checked whole.
#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "log.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Key pair of the fleet in Z85; every daemon uses the same one and accepts only peers that hold it.
struct CurveKeys {
    std::string publicKey;
    std::string secretKey;
};

struct DaemonSettings {
    DaemonId daemon;
    FailureDomain domain;
    std::string httpAddress; ///< "ip:port" for callers, workers excluded.
    std::string peerAddress; ///< "ip:port" of the ZeroMQ socket.
    std::vector<std::string> seeds; ///< Peer addresses to start with.
    std::string platformAddress; ///< "ip:port".
    std::string operatorKeyDigest; ///< SHA-256 of the operators' key, 64 lower-case hexadecimal digits.
    std::optional<CurveKeys> curve;
    LogLevel logLevel = LogLevel::Info;
    std::map<LogPart, LogLevel> logLevels;

    Duration storeTimeout{1500};
    Duration workerTimeout{1000};
    Duration leaseTerm{6000};
    Duration leaseMargin{1000};
    Duration heartbeatInterval{500};
    Duration peerTimeout{2500};
    Duration keyBound{5000};
    Duration admissionTimeout{5000};
    Duration syncInterval{250};
    Duration taskTerm{10000};
    Duration requestDeadline{30000}; ///< Of requests whose route states none.
    Duration clientIdle{60000}; ///< A caller's connection without traffic is closed after this span.
    Duration drainWait{10000}; ///< Between "not ready" and the refusal of new work.
    Duration finishWait{30000}; ///< The longest wait for requests in flight after the drain wait.

    std::uint64_t maxBody = 8UL * 1024 * 1024; ///< Bytes of a request body.
    std::uint64_t maxHeaders = 32UL * 1024; ///< Bytes of a request head.
    std::uint64_t maxActiveRequests = 20000; ///< Of all teams.
    std::uint64_t maxActivePerTeam = 4000; ///< Requests of one team that wait or run.
    std::uint64_t platformConnections = 6;
    std::uint64_t workerConnections = 8; ///< To the application of one worker.
};

struct SettingsProblem {
    int line = 0; ///< From 1; 0 if it concerns the whole file.
    std::string message;
    std::string remedy;

    /// "file:line: message; remedy".
    [[nodiscard]] std::string text(const std::string &file) const;
};

struct SettingsCheck {
    std::optional<DaemonSettings> settings; ///< Set exactly if there are no problems.
    std::vector<SettingsProblem> problems;
};

/// Checks everything and reports all problems at once.
[[nodiscard]] SettingsCheck parseSettings(const std::string &yaml);

/// Reads and checks a file.
[[nodiscard]] SettingsCheck readSettings(const std::string &path);

} // namespace KingCupLadder
