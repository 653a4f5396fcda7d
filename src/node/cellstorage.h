// The cell's rows in the store: jobs, their progress and cancellations, the workers in use, and the leader.
#pragma once

#include "cell/cellscheduler.h"
#include "cell/leadership.h"
#include "daemon/eventloop.h"
#include "tablestore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder {

enum class AdmitOutcome {
    Stored,
    AlreadyExists, ///< A job with this id is stored, or has ended.
    NotStored, ///< Certainly not, now or later.
    Unknown,
};

struct StoredState {
    bool known = false; ///< False: the store could not be read.
    CellJobState state = CellJobState::Unknown; ///< Unknown: there is no such job.
    WorkspaceId workspace;
};

/// Everything that is stored about the jobs.
struct StoredJobs {
    struct Entry {
        std::optional<CellJob> job;
        std::optional<JobProgress> progress;
        bool cancelled = false;
        RowVersion admitted; ///< Version of the job's row.
    };
    std::map<JobId, Entry> jobs;
    RowVersion version; ///< Later changes are in the feed after this version.
};

/// A change of the jobs' rows by another daemon.
struct JobChange {
    std::optional<CellJob> admitted;
    std::optional<JobId> cancelled;
};

class CellStorage
{
public:
    /// @p parts: over how many parts the jobs are spread; the same for all daemons of a cell.
    CellStorage(EventLoop &loop, TableStore &store, int parts = 4);

    /// Retries until @p deadline.
    void admit(const CellJob &job, TimePoint deadline, const std::function<void(AdmitOutcome)> &callback);
    void cancel(const JobId &id, TimePoint deadline, const std::function<void(bool stored)> &callback);
    void readState(const JobId &id, Duration timeout, const std::function<void(const StoredState &)> &callback);
    /// Empty if a read failed.
    void loadAll(const std::function<void(std::optional<StoredJobs>)> &callback);
    /// Changes since @p after; empty if the history is gone or the store did not answer.
    void readChanges(RowVersion after, const std::function<void(bool historyGone, const std::vector<JobChange> &, RowVersion)> &callback);

    /// Writes progress; each job is reported once. A final state removes the job's other rows.
    /// @p stored: the write took effect, or the row already has a final state, which is passed along.
    using ProgressCallback = std::function<void(const ProgressWrite &write, bool stored, CellJobState foundFinal)>;
    void writeProgress(const std::vector<ProgressWrite> &writes, std::int64_t unixNowMs, const ProgressCallback &callback);
    /// Forgets the versions of progress rows; to be called when a leadership begins.
    void resetVersions();

    void readWorkers(const std::function<void(bool known, const std::vector<WorkerId> &ids)> &callback);
    /// Each leadership writes a row of its own, so that a late write of an earlier leader can't hide workers of this one.
    void writeWorkers(Epoch epoch, const std::vector<WorkerId> &ids, const std::function<void(bool stored)> &callback);

    void readLeader(const std::function<void(bool known, const std::optional<LeaderRecord> &, RowVersion)> &callback);
    void writeLeader(const LeaderRecord &record,
                     RowVersion expected,
                     const std::function<void(StoreOutcome, const std::optional<LeaderRecord> &current, RowVersion version)> &callback);

    /// The part that holds all rows of a job.
    [[nodiscard]] std::string partitionOf(const JobId &id) const;

private:
    struct Load;
    struct LoadPart;

    [[nodiscard]] RowKey jobKey(const JobId &id) const;
    [[nodiscard]] RowKey cancelKey(const JobId &id) const;
    [[nodiscard]] RowKey progressKey(const JobId &id) const;
    void admitOnce(const CellJob &job, TimePoint deadline, bool mayBeStored, const std::function<void(AdmitOutcome)> &callback);
    void cancelOnce(const JobId &id, TimePoint deadline, const std::function<void(bool)> &callback);
    void loadNext(const LoadPart &next);
    void onLoaded(LoadPart next, const StoreAnswer &answer);
    void writePart(const std::string &part, const std::vector<ProgressWrite> &writes, std::int64_t unixNowMs, const ProgressCallback &callback);
    void onPartWritten(const std::vector<ProgressWrite> &writes, const StoreAnswer &answer, const ProgressCallback &callback);

    EventLoop &m_loop;
    TableStore &m_store;
    int m_parts;
    std::map<JobId, RowVersion> m_versions; ///< Of progress rows; absent: no such row.
    std::vector<std::string> m_formerWorkerKeys; ///< Rows of earlier leaderships; their workers are in the next list.
    DelayedCalls m_delayed; ///< Repeats of writes.
};

} // namespace KingCupLadder
