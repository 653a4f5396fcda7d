// Suspicion and verdict from the crashes under a task.
#include "crashhistory.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::ptrdiff_t provenCrashesForVerdict = 2; // A task under which only one worker has crashed is never given up.
constexpr std::ptrdiff_t crashesForVerdict = 3; // If workers only fell silent, or had other runs.
// After so many early crashes a task is given up in any case. A crash that happened while no leader watched is not counted, and no task may
// crash more than five workers.
constexpr std::size_t maxEarlyCrashes = 4;
constexpr std::size_t earlyCrashesForIsolation = 2;

} // namespace

const char *toString(CrashTiming timing)
{
    switch (timing) {
    case CrashTiming::AtStart:
        return "at its start";
    case CrashTiming::Soon:
        return "soon after its start";
    default:
        return "long after its start";
    }
}

bool CrashHistory::add(RunNumber run, const WorkerCrash &crash, TimePoint at)
{
    const auto [known, isNew] = m_crashes.emplace(run, crash);
    m_lastCrashAt = isNew ? std::max(m_lastCrashAt, at) : m_lastCrashAt;
    const bool isProvenNow = !isNew && crash.isProven && !known->second.isProven;
    known->second.isProven = known->second.isProven || isProvenNow;
    return isNew || isProvenNow;
}

bool CrashHistory::retract(RunNumber run)
{
    const auto known = m_crashes.find(run);
    if (known == m_crashes.end() || known->second.isProven) {
        return false;
    }
    m_crashes.erase(known);
    m_isMarked = m_isMarked && !m_crashes.empty();
    return true;
}

void CrashHistory::markSuspect()
{
    m_isMarked = true;
}

std::size_t CrashHistory::earlyCrashes() const
{
    return static_cast<std::size_t>(
        std::count_if(m_crashes.begin(), m_crashes.end(), [](const auto &entry) { return entry.second.timing != CrashTiming::Late; }));
}

RunIsolation CrashHistory::isolation() const
{
    if (earlyCrashes() >= earlyCrashesForIsolation) {
        return RunIsolation::Long;
    }
    const bool isAnyAtStart = std::any_of(m_crashes.begin(), m_crashes.end(), [](const auto &entry) { return entry.second.timing == CrashTiming::AtStart; });
    return m_isMarked || isAnyAtStart ? RunIsolation::Short : RunIsolation::None;
}

bool CrashHistory::isCause() const
{
    if (earlyCrashes() >= maxEarlyCrashes) {
        return true;
    }
    if (m_crashes.empty() || m_crashes.rbegin()->second.timing != CrashTiming::AtStart) {
        return false;
    }
    std::ptrdiff_t atStart = 0;
    std::ptrdiff_t provenAtStart = 0;
    for (const auto &[run, crash] : m_crashes) {
        atStart += crash.timing == CrashTiming::AtStart ? 1 : 0;
        provenAtStart += crash.timing == CrashTiming::AtStart && crash.isProven ? 1 : 0;
    }
    // Only the first of three runs can have been started at the same time as others, since the next ones were isolated.
    return atStart >= crashesForVerdict || (provenAtStart >= provenCrashesForVerdict && m_crashes.rbegin()->second.wasAlone);
}

const std::map<RunNumber, WorkerCrash> &CrashHistory::crashes() const
{
    return m_crashes;
}

TimePoint CrashHistory::lastCrashAt() const
{
    return m_lastCrashAt;
}

} // namespace KingCupLadder
