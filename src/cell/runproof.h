// Proof that a run does not exist on its worker and never will. WorkerTable releases a run, which lets its task start again, only with such
// a proof. A missing registry entry is none: entries expire while the store is down or the worker is cut off, and a draining worker
// may go on for any time after the one that it announced.
#pragma once

#include "workerprotocol.h"

#include <optional>

namespace KingCupLadder {

struct Run;
struct Worker;

/// The factory functions return an empty optional if the facts prove nothing about the run.
class RunProof
{
public:
    enum class Kind {
        ListedEnd, ///< The worker has listed the run's end.
        MissingInLists, ///< The worker had confirmed the run, or its stop, before it made complete lists without the run.
        RejectedStart, ///< The worker rejected the start, and no other start of the run can take effect.
        ExpiredStart, ///< After the deadline of the start, on its own clock, the worker made complete lists without the run.
        LaterIncarnation, ///< The worker had listed the run, and now runs another process that no start of the run can reach.
        SuccessorOnVm, ///< Another worker, started later, answers on the worker's VM, and the worker does not.
        ExpiredLeases, ///< All leases of the worker have expired on its own clock, at its maximum drift.
    };

    [[nodiscard]] static RunProof fromListedEnd();
    /// @p sent is when the hold was sent to which the worker replied; the run is not in @p reply.
    [[nodiscard]] static std::optional<RunProof> fromMissingInLists(const Run &run, const HoldReply &reply, TimePoint sent);
    [[nodiscard]] static std::optional<RunProof> fromRejectedStart(const Run &run);
    /// Needs no answer to an order, so that a worker that answers only holds does not keep its runs for ever. The run is not in @p reply.
    [[nodiscard]] static std::optional<RunProof> fromExpiredStart(const Run &run, const HoldReply &reply);
    [[nodiscard]] static std::optional<RunProof> fromLaterIncarnation(const Run &run);
    [[nodiscard]] static std::optional<RunProof> fromSuccessor(const Worker &worker, const Worker &successor);
    [[nodiscard]] static std::optional<RunProof> fromExpiredLeases(const Worker &worker, TimePoint now);

    [[nodiscard]] Kind kind() const;

private:
    explicit RunProof(Kind kind);

    Kind m_kind;
};

[[nodiscard]] const char *toString(RunProof::Kind kind);

} // namespace KingCupLadder
