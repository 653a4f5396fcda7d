// String conversions of the message enumerations.
#include "messages.h"

#include <array>

namespace KingCupLadder {

const char *toString(TaskOutcome outcome)
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return "succeeded";
    case TaskOutcome::Failed:
        return "failed";
    case TaskOutcome::Stopped:
        return "stopped";
    case TaskOutcome::Checkpointed:
        return "checkpointed";
    case TaskOutcome::Expired:
        return "expired";
    }
    return "unknown";
}

std::optional<TaskOutcome> taskOutcomeFromString(const std::string &text)
{
    constexpr std::array<TaskOutcome, 5> all{
        TaskOutcome::Succeeded, TaskOutcome::Failed, TaskOutcome::Stopped, TaskOutcome::Checkpointed, TaskOutcome::Expired};
    for (TaskOutcome outcome : all) {
        if (text == toString(outcome)) {
            return outcome;
        }
    }
    return std::nullopt;
}

const char *toString(ExecutionStatus ran)
{
    switch (ran) {
    case ExecutionStatus::NotRun:
        return "not run";
    case ExecutionStatus::Unknown:
        return "unknown";
    case ExecutionStatus::Ran:
        return "ran";
    }
    return "unknown";
}

} // namespace KingCupLadder
