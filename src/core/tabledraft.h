// The tables as parsed, before validation across entries. Every entry has the line numbers that problem reports refer to.
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
    std::map<std::string, int> lines; ///< The lines of name, path, pool, open and demand; the line of the entry for absent fields.
};

struct PoolDraft {
    Pool pool;
    int line = 0;
    int vmsLine = 0;
    std::vector<int> teamLines; ///< One line for each element of pool.teams.
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

/// Parses the routes document into the draft. Returns false if the document could not be read at all.
[[nodiscard]] bool readRoutes(const std::string &yaml, TablesDraft &draft, TableProblemCollector &problems);
/// Parses the pools document into the pools and teams of the draft. Returns false if the document could not be read at all.
[[nodiscard]] bool readPools(const std::string &yaml, TablesDraft &draft, TableProblemCollector &problems);
/// Validates everything that involves more than one entry.
void checkDraft(const TablesDraft &draft, TableProblemCollector &routeProblems, TableProblemCollector &poolProblems);

} // namespace KingCupLadder
