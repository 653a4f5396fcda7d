// Log names of run ends and order outcomes.
#include "workerprotocol.h"

namespace KingCupLadder {

const char *toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Succeeded:
        return "succeeded";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lease expired";
    case RunEnd::GangBroken:
        return "gang broken";
    case RunEnd::GangIncomplete:
        return "gang incomplete";
    }
    return "unknown";
}

const char *toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::StaleFencingToken:
        return "stale fencing token";
    case OrderOutcome::StaleRunNumber:
        return "stale run number";
    case OrderOutcome::DeadlineExceeded:
        return "deadline exceeded";
    case OrderOutcome::NoRoom:
        return "insufficient capacity";
    case OrderOutcome::InvalidTicket:
        return "invalid ticket";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unhealthy:
        return "worker unhealthy";
    case OrderOutcome::OtherIncarnation:
        return "other worker incarnation";
    case OrderOutcome::NoAnswer:
        return "no answer";
    }
    return "unknown";
}

} // namespace KingCupLadder
