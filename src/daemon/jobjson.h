// Reads the body of POST /v1/jobs and writes job records for callers.
#pragma once

#include "core/error.h"
#include "core/job.h"
#include "core/tables.h"

#include <nlohmann/json.hpp>

#include <string>

namespace KingCupLadder {

/// The body of POST /v1/jobs before it is completed from its route.
struct JobRequest {
    std::string id; ///< Empty if not given.
    RouteName route;
    std::uint32_t tasks = 1;
    nlohmann::json demand; ///< Overrides of the route's demand; an object.
    Duration runTime{0};
    std::string payload;
};

[[nodiscard]] Result<JobRequest> parseJobRequest(const std::string &body);

/// The job of a request, completed from its route; without its id and its team.
[[nodiscard]] Result<JobSpec> completeJob(const JobRequest &request, const Route &route);

[[nodiscard]] nlohmann::json jobJson(const JobRecord &record);

/// 1 to 200 printable characters without spaces: the id becomes part of row keys and paths.
[[nodiscard]] bool isValidJobId(const std::string &id);

} // namespace KingCupLadder
