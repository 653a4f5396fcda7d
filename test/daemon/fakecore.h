// Fake decision core for the tests of the daemon. Tests set its answers and inspect the calls it received.
#pragma once

#include "core/daemoncore.h"

#include <string>
#include <vector>

namespace KingCupLadder {

struct FakeCore {
    std::string secret = "team-secret"; ///< Key of team "a".
    std::string workerAddress; ///< Worker address of every grant; if empty, grant requests are refused.
    Duration grantTerm{5000};
    bool storeJobs = false; ///< If true, jobs are written to the store before they are accepted.
    Error nextError; ///< Error of the next answer; later answers have none.
    std::vector<JobSpec> submittedJobs;
    std::vector<TeamKey> issuedKeys;
    std::vector<std::string> finishedOutcomes; ///< Outcomes of finished claims.
    std::vector<GrantOutcome> releases;
    std::vector<Command> commands; ///< Returned by the next takeCommands().
    std::string routes;
    std::string pools;
    bool stopping = false;
};

/// State shared by all DaemonCore instances of the test program.
FakeCore &fakeCore();

} // namespace KingCupLadder
