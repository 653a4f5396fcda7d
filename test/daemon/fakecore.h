// A stand-in for the decision core, for tests of the daemon only. Tests set what it answers and read what it was asked.
#pragma once

#include "core/daemoncore.h"

#include <string>
#include <vector>

namespace KingCupLadder {

struct FakeCore {
    std::string secret = "team-secret"; ///< Of team "a".
    std::string workerAddress; ///< Granted to every wish; none: wishes are refused.
    Duration grantTerm{5000};
    bool storeJobs = false; ///< Jobs are written through the store before they are accepted.
    Error nextError; ///< Answers the next operation, then resets.
    std::vector<JobSpec> jobs;
    std::vector<TeamKey> issuedKeys;
    std::vector<std::string> finished; ///< Outcomes of claims.
    std::vector<GrantOutcome> releases;
    std::vector<Command> commands; ///< Emitted at the next takeCommands().
    std::string routes;
    std::string pools;
    bool stopping = false;
};

/// The state behind every DaemonCore of the test program.
FakeCore &fakeCore();

} // namespace KingCupLadder
