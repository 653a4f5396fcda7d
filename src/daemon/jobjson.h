// Parses the body of POST /v1/jobs and formats job records as JSON for callers.
#pragma once

#include "core/error.h"
#include "core/job.h"
#include "core/tables.h"

#include <nlohmann/json.hpp>

#include <string>

namespace KingCupLadder {

/// The body of POST /v1/jobs, without the defaults of its route.
struct JobRequest {
    std::string id; ///< Empty if not given.
    RouteName route;
    std::uint32_t tasks = 1;
    nlohmann::json demand; ///< Overrides of the route's demand; an object.
    Duration runTime{0};
    std::string payload;
};

[[nodiscard]] Result<JobRequest> parseJobRequest(const std::string &body);

/// Builds a job from the request and the defaults of its route. Leaves id, team and workspace empty.
[[nodiscard]] Result<JobSpec> makeJobSpec(const JobRequest &request, const Route &route);

[[nodiscard]] nlohmann::json jobJson(const JobRecord &record);

/// Returns whether the id of a job or key has 1 to 200 printable characters without spaces. Ids become part of row keys and URL
/// paths.
[[nodiscard]] bool isValidId(const std::string &id);

} // namespace KingCupLadder
