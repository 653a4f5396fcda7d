// Pure placement decisions: where single tasks and gangs fit now, when a gang could start, and which later placements would
// delay it.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace KingCupLadder {

/// Room that becomes free when a run ends.
struct Release {
    TimePoint at;
    Resources amount;
};

/// A worker as one step sees it.
struct CandidateWorker {
    std::size_t worker = 0; ///< Index of the worker.
    Resources free;
    int maxTasks = 0; ///< How many more tasks of the step may run there, apart from room.
    const std::vector<Release> *releases = nullptr; ///< In order of time; null: none.
};

struct Share {
    std::size_t worker = 0;
    int tasks = 0;
};

/// How many tasks of @p demand fit into @p room, at most @p most.
[[nodiscard]] int tasksThatFit(const Resources &demand, const Resources &room, int most);

/// Places all @p count tasks, on the workers with the most room first; empty if they do not fit.
[[nodiscard]] std::optional<std::vector<Share>> fitGang(const std::vector<CandidateWorker> &rooms, const Resources &demand, int count);

struct GangForecast {
    TimePoint start;
    std::vector<Share> shares;
};

/// The earliest moment at which @p count tasks fit, if running tasks end as expected; empty if they never do.
[[nodiscard]] std::optional<GangForecast> forecastGang(const std::vector<CandidateWorker> &rooms, const Resources &demand, int count, TimePoint now);

/// Room that waiting gangs will need.
class Reservations
{
public:
    void add(std::size_t worker, TimePoint at, const Resources &amount);
    [[nodiscard]] bool concern(std::size_t worker) const;
    /// May a task of @p demand that ends at @p end start on the worker now without delaying a reservation?
    [[nodiscard]] bool allows(const CandidateWorker &room, const Resources &demand, TimePoint end) const;
    /// How many tasks of @p demand that end at @p end may start on the worker now without delaying a reservation.
    [[nodiscard]] int tasksAllowed(const CandidateWorker &room, const Resources &demand, TimePoint end) const;
    /// The room without what is reserved from some moment on.
    [[nodiscard]] CandidateWorker without(CandidateWorker room) const;

private:
    std::map<std::size_t, std::vector<Release>> m_reserved; ///< By worker, in order of time.
};

} // namespace KingCupLadder
