// The crashes of workers under the runs of one task, or of one gang, and what follows from them for its next run.
//
// When a worker crashes, each of its runs may be the cause. A run that has just been started is a more probable cause than one that the
// worker has carried for some time. The next run of a suspect starts on a worker whose other runs, if any, have survived their start: if that
// worker crashes at the start too, the task is the cause, and few other tasks have suffered.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <cstdint>
#include <map>

namespace KingCupLadder {

/// How soon after the start of a run its worker crashed.
enum class CrashTiming {
    Late, ///< The run is not considered as the cause, unless all runs of the worker were as old.
    Soon, ///< Within some seconds, or the worker had not confirmed the run.
    AtStart, ///< The worker had confirmed the run and answered nothing since that shows that it survived the start.
};

[[nodiscard]] const char *toString(CrashTiming timing);

/// A crash of a worker under a run.
struct WorkerCrash {
    CrashTiming timing = CrashTiming::Late;
    bool wasAlone = false; ///< The worker had no other runs than this one, or than the members of this gang.
    bool isProven = true; ///< False if the worker only fell silent: it may have been cut off.
    std::int64_t unixMs = 0; ///< When the leader learned of the crash, by its wall clock; 0: not known, as in rows of earlier versions.

    friend bool operator==(const WorkerCrash &a, const WorkerCrash &b)
    {
        return a.timing == b.timing && a.wasAlone == b.wasAlone && a.isProven == b.isProven && a.unixMs == b.unixMs;
    }
};

/// How long no other run may be started on the worker of a run.
enum class RunIsolation {
    None,
    Short, ///< Until the run has survived its start.
    Long, ///< Until a crash would not count against the task any more.
};

/// The crashes under the runs of one task. Those of a gang are counted together, since its members share their run's number.
class CrashHistory
{
public:
    /// Adds a crash that became known at @p at, or proves one that is known. Returns false if nothing changes.
    bool add(RunNumber run, const WorkerCrash &crash, TimePoint at);
    /// The worker of the run was cut off and has not crashed. Returns false if nothing changes.
    bool retract(RunNumber run);
    /// The task may have caused a crash soon after the start of its run.
    void markSuspect();
    [[nodiscard]] RunIsolation isolation() const;
    /// Whether the task is taken for the cause of the crashes and given up.
    [[nodiscard]] bool isCause() const;
    [[nodiscard]] const std::map<RunNumber, WorkerCrash> &crashes() const;
    /// When the last crash became known, to this leader or to an earlier one; zero: there was none.
    [[nodiscard]] TimePoint lastCrashAt() const;

private:
    /// Crashes at the start of a run or soon after it.
    [[nodiscard]] std::size_t earlyCrashes() const;

    std::map<RunNumber, WorkerCrash> m_crashes;
    TimePoint m_lastCrashAt;
    bool m_isMarked = false; ///< Not stored: after a change of leader only the crashes are known.
};

} // namespace KingCupLadder
