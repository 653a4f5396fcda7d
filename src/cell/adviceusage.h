// Use of the policy service by the steps of a cell, for logs and metrics.
#pragma once

#include "core/units.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace KingCupLadder {

/// Why the policy service is called.
enum class AdvicePurpose {
    FirstAnswer, ///< The step has no answer yet, so none of its tasks can start.
    FurtherWorkers, ///< The allowed workers have too little capacity.
    Renewal, ///< The tickets of allowed workers have expired.
};

[[nodiscard]] inline const char *toString(AdvicePurpose purpose)
{
    return purpose == AdvicePurpose::FirstAnswer ? "first answer" : purpose == AdvicePurpose::FurtherWorkers ? "further workers" : "renewal";
}

/// Totals since the scheduler was created, by the priority of the routes.
struct AdviceUsage {
    struct Calls {
        std::uint64_t calls = 0;
        std::uint64_t named = 0; ///< Workers named in the calls.
        Duration serviceTime{0}; ///< Expected processing time.
    };
    struct FirstAnswers {
        std::uint64_t answers = 0;
        Duration totalWait{0}; ///< From the time when the step was ready to the answer.
        Duration longestWait{0};

        void add(Duration wait)
        {
            ++answers;
            totalWait += wait;
            longestWait = std::max(longestWait, wait);
        }
    };
    std::map<std::pair<int, AdvicePurpose>, Calls> calls;
    std::map<int, FirstAnswers> firstAnswers;
    std::uint64_t faultyAnswers = 0; ///< Late answers, and answers with entries that were ignored.
};

} // namespace KingCupLadder
