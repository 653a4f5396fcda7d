// The conditions under which each kind of proof holds.
#include "runproof.h"

#include "workertable.h"

namespace KingCupLadder {

RunProof::RunProof(Kind kind) : m_kind(kind) { }

RunProof::Kind RunProof::kind() const
{
    return m_kind;
}

RunProof RunProof::fromListedEnd()
{
    return RunProof(Kind::ListedEnd);
}

std::optional<RunProof> RunProof::fromMissingInLists(const Run &run, const HoldReply &reply, TimePoint sent)
{
    // The lists were taken after the hold was sent, so a run that was confirmed earlier and is not listed does not exist. If the list of ends is
    // incomplete, the run may have succeeded.
    const bool isConfirmed = run.phase == RunPhase::Running || (run.phase == RunPhase::Stopping && run.stopConfirmed);
    return isConfirmed && run.confirmedAt < sent && !reply.mayOmitEnds ? std::optional<RunProof>(RunProof(Kind::MissingInLists)) : std::nullopt;
}

std::optional<RunProof> RunProof::fromRejectedStart(const Run &run)
{
    const bool mayStartYet = run.startUnanswered || run.startsInFlight > 0;
    return run.phase == RunPhase::Starting && !mayStartYet ? std::optional<RunProof>(RunProof(Kind::RejectedStart)) : std::nullopt;
}

std::optional<RunProof> RunProof::fromExpiredStart(const Run &run, const HoldReply &reply)
{
    // The deadline counts on the clock of the incarnation to which the start was sent.
    const bool isUnconfirmed = !run.order.task.step.job.isEmpty() && run.confirmedClock == 0 && !run.listed && !run.mayHaveRunBefore;
    const bool hasExpired = run.order.deadline < reply.clock;
    return isUnconfirmed && hasExpired && !reply.mayOmitEnds ? std::optional<RunProof>(RunProof(Kind::ExpiredStart)) : std::nullopt;
}

std::optional<RunProof> RunProof::fromLaterIncarnation(const Run &run)
{
    return run.isLostWithIncarnation() ? std::optional<RunProof>(RunProof(Kind::LaterIncarnation)) : std::nullopt;
}

std::optional<RunProof> RunProof::fromSuccessor(const Worker &worker, const Worker &successor)
{
    const bool isSameVm = !worker.info.vm.isEmpty() && worker.info.vm == successor.info.vm && worker.info.id != successor.info.id;
    const bool isSilent = !worker.hasAnswered() || worker.unresponsiveSince != TimePoint();
    // The successor has to answer, because the start times of two workers are not reliable if the VM's clock has jumped.
    const bool isSuccessor = worker.info.incarnation < successor.info.incarnation && successor.isAnswering();
    return isSameVm && isSilent && isSuccessor ? std::optional<RunProof>(RunProof(Kind::SuccessorOnVm)) : std::nullopt;
}

std::optional<RunProof> RunProof::fromExpiredLeases(const Worker &worker, TimePoint now)
{
    return worker.leases.haveExpired(now) ? std::optional<RunProof>(RunProof(Kind::ExpiredLeases)) : std::nullopt;
}

const char *toString(RunProof::Kind kind)
{
    switch (kind) {
    case RunProof::Kind::ListedEnd:
        return "its end was listed";
    case RunProof::Kind::MissingInLists:
        return "the worker's complete lists do not have it";
    case RunProof::Kind::RejectedStart:
        return "its start was rejected";
    case RunProof::Kind::ExpiredStart:
        return "its start has expired, and the worker's complete lists do not have it";
    case RunProof::Kind::LaterIncarnation:
        return "the worker's process was replaced";
    case RunProof::Kind::SuccessorOnVm:
        return "another worker answers on the VM";
    case RunProof::Kind::ExpiredLeases:
        return "the worker's leases have expired";
    }
    return "unknown proof";
}

} // namespace KingCupLadder
