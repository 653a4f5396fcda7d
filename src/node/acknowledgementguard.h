// Keeps acknowledgements of ended runs from a worker process that they are not meant for. Orders name a worker by its id, which a restarted
// process keeps, and each process numbers its ended runs from 1: an acknowledgement for the former process would make the new one drop
// ends that nobody has read.
#pragma once

#include "cell/workerprotocol.h"
#include "core/units.h"

#include <map>

namespace KingCupLadder {

/// Passes an acknowledgement on only if the intended incarnation has just answered this daemon. One object guards all holds that the daemon
/// sends, for itself and for a leader.
class AcknowledgementGuard
{
public:
    /// Returns the order as it may be sent at @p now: without its acknowledgement if the worker's incarnation is not confirmed.
    [[nodiscard]] HoldOrder guard(HoldOrder order, TimePoint now) const;
    /// A worker's process answered a hold.
    void confirm(const WorkerId &worker, WorkerIncarnation incarnation, TimePoint now);
    /// A hold got no answer, so the process may have been replaced.
    void revoke(const WorkerId &worker);

private:
    struct Confirmation {
        WorkerIncarnation incarnation;
        TimePoint at;
    };
    std::map<WorkerId, Confirmation> m_confirmations;
};

} // namespace KingCupLadder
