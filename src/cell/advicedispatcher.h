// Spreads calls to the policy service over the daemons. The service handles one call at a time for each calling VM, so each
// daemon is a lane with its own backlog; long calls are kept off some lanes so that urgent steps find a free one.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace KingCupLadder {

struct AdviceCall {
    StepRef step;
    std::vector<WorkerId> workers;
    Duration duration{0}; ///< Expected time in the service.
    int priority = 0; ///< 0 comes first.
    DaemonId lane; ///< Set when it is sent.
    std::uint64_t id = 0; ///< Set when it is sent.
};

class AdviceDispatcher
{
public:
    /// The daemons that can call the service now.
    void setLanes(const std::vector<DaemonId> &lanes);
    void add(AdviceCall call);
    /// Calls to send now.
    [[nodiscard]] std::vector<AdviceCall> dispatch(TimePoint now);
    /// The call is answered or lost. Empty if it is not known (any more).
    [[nodiscard]] std::optional<AdviceCall> finish(std::uint64_t id);
    /// Calls whose answers are overdue; they are forgotten here.
    [[nodiscard]] std::vector<AdviceCall> expire(TimePoint now);
    void clear();
    [[nodiscard]] std::size_t waitingCalls() const;
    [[nodiscard]] std::size_t openCalls() const;

private:
    struct Lane {
        int open = 0;
        TimePoint busyUntil;
    };
    struct Open {
        AdviceCall call;
        TimePoint overdue;
    };

    [[nodiscard]] std::map<DaemonId, Lane>::iterator bestLane(const AdviceCall &call, TimePoint now);

    std::map<DaemonId, Lane> m_lanes;
    std::map<std::pair<int, std::uint64_t>, AdviceCall> m_waiting; ///< By priority and order of arrival.
    std::map<std::uint64_t, Open> m_open;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastArrival = 0;
};

} // namespace KingCupLadder
