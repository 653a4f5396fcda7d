// The tables as written, before the checks across entries: every entry with the lines that later problems name.
#pragma once

#include "tablereader.h"
#include "tables.h"

#include <map>
#include <string>
#include <vector>

namespace KingCupLadder {

struct RouteDraft {
    Route route;
    int line = 0;
    std::map<std::string, int> lines; ///< Of the fields present.
};

struct PoolDraft {
    Pool pool;
    int line = 0;
    int vmsLine = 0;
    std::vector<int> teamLines; ///< One for each of pool.teams.
};

struct TeamDraft {
    Team team;
    int line = 0;
    int limitLine = 0;
};

struct TablesDraft {
    std::vector<RouteDraft> routes;
    std::vector<PoolDraft> pools;
    std::vector<TeamDraft> teams;
};

/// Fills the routes of the draft. False if the document could not be read at all.
[[nodiscard]] bool readRoutes(const std::string &yaml, TablesDraft &draft, TableProblemCollector &problems);
/// Fills the pools and the teams of the draft. False if the document could not be read at all.
[[nodiscard]] bool readPools(const std::string &yaml, TablesDraft &draft, TableProblemCollector &problems);
/// The checks that concern more than one entry.
void checkDraft(const TablesDraft &draft, TableProblemCollector &routeProblems, TableProblemCollector &poolProblems);

} // namespace KingCupLadder
