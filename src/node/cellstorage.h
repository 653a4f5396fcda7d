// Persistence of the cell's state in the store: jobs, their progress and cancellations, the workers in use, and the leader.
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
    AlreadyExists, ///< A job with this ID is already stored or has ended.
    NotStored, ///< The job is not stored and will not be.
    Unknown, ///< The job may have been stored.
};

struct StoredState {
    bool wasRead = false; ///< False if the store could not be read.
    CellJobState state = CellJobState::Unknown; ///< Unknown if there is no such job.
    WorkspaceId workspace;
};

/// All stored state of the jobs.
struct StoredJobs {
    struct Entry {
        std::optional<CellJob> job;
        std::optional<JobProgress> progress;
        bool cancelled = false;
        RowVersion jobRowVersion; ///< Tells whether an earlier leader may have started the job; see LeaderController::load().
    };
    std::map<JobId, Entry> jobs;
    RowVersion version; ///< The change feed after this version contains all later changes.
};

/// A change of the job rows by another daemon: a new job or a cancellation. Neither is set if a job row can't be decoded.
struct JobChange {
    std::optional<CellJob> admitted;
    std::optional<JobId> cancelled;
};

constexpr std::size_t maxRowBytes = 65536; ///< Longest value of a row that the store accepts.

class CellStorage
{
public:
    /// @p partitions: number of partitions that jobs are hashed to, if the store has no number yet; see resolvePartitions().
    CellStorage(EventLoop &loop, TableStore &store, int partitions = 4);

    /// Adopts the number of partitions that the first daemon of the cell has stored, or stores its own. All daemons have to use the same number for the
    /// lifetime of the store, whatever their settings are. Repeats failed calls, and calls @p done once; no other function may be called before.
    void resolvePartitions(const std::function<void()> &done);

    /// Stores a new job; repeats failed attempts until @p deadline.
    void admit(const CellJob &job, TimePoint deadline, const std::function<void(AdmitOutcome)> &callback);
    /// Stores a cancellation; repeats failed attempts until @p deadline.
    void cancel(const JobId &id, TimePoint deadline, const std::function<void(bool stored)> &callback);
    void readState(const JobId &id, Duration timeout, const std::function<void(const StoredState &)> &callback);
    /// Reads all jobs; the result is empty if a read failed.
    void loadAll(const std::function<void(std::optional<StoredJobs>)> &callback);
    /// Reads the changes after @p after, and passes the version up to which they were read. If the read fails, there are no changes and that
    /// version is @p after; @p historyTruncated tells whether the store no longer keeps the changes or did not answer.
    void readChanges(RowVersion after, const std::function<void(bool historyTruncated, const std::vector<JobChange> &, RowVersion)> &callback);

    /// Writes progress and calls back once per job. A final state removes the job's other rows.
    /// @p stored: the write took effect, or the row already has a final state, which is passed as @p existingFinalState.
    using ProgressCallback = std::function<void(const ProgressWrite &write, bool stored, CellJobState existingFinalState)>;
    void writeProgress(const std::vector<ProgressWrite> &writes, std::int64_t currentUnixTimeMs, const ProgressCallback &callback);
    /// Clears the known versions of progress rows. Must be called when a leadership begins, since other leaders may have written the rows.
    void clearProgressVersions();

    /// Reads the workers that earlier leaderships stored.
    void readWorkers(const std::function<void(bool wasRead, const std::vector<WorkerRecord> &records)> &callback);
    /// Each leadership writes its own row, so that a late write of an earlier leader can't overwrite the workers of this one, and removes only
    /// rows of earlier leaderships. A write replaces only the row that this object last wrote or saw, so that a write without an answer can't
    /// replace a later one.
    void writeWorkers(Epoch epoch, const std::vector<WorkerRecord> &records, const std::function<void(bool stored)> &callback);

    void readLeader(const std::function<void(bool wasRead, const std::optional<LeaderRecord> &, RowVersion)> &callback);
    void writeLeader(const LeaderRecord &record,
                     RowVersion expected,
                     const std::function<void(StoreOutcome, const std::optional<LeaderRecord> &current, RowVersion version)> &callback);

    /// Returns the partition that contains all rows of a job.
    [[nodiscard]] std::string partitionOf(const JobId &id) const;

private:
    struct LoadOperation; ///< State of one call of loadAll(), shared by its reads.
    struct LoadCursor;
    struct WorkersRead; ///< State of one call of readWorkers().

    void storePartitions(const std::function<void()> &done);
    void retryResolvingPartitions(const std::function<void()> &done);
    /// Returns false if the row can't be used.
    [[nodiscard]] bool adoptPartitions(const TableRow &row);
    [[nodiscard]] RowKey jobRowKey(const JobId &id) const;
    [[nodiscard]] RowKey cancelRowKey(const JobId &id) const;
    [[nodiscard]] RowKey progressRowKey(const JobId &id) const;
    /// Makes one attempt and schedules the next one if it fails. @p mayBeStored: the outcome of an earlier attempt is unknown.
    void attemptAdmission(const CellJob &job, TimePoint deadline, bool mayBeStored, const std::function<void(AdmitOutcome)> &callback);
    void attemptCancellation(const JobId &id, TimePoint deadline, const std::function<void(bool)> &callback);
    void loadNextPage(const LoadCursor &cursor);
    void onPageLoaded(LoadCursor cursor, const StoreAnswer &answer);
    void readWorkersPage(const std::shared_ptr<WorkersRead> &read, const std::string &from);
    void writeProgressBatch(const std::string &partition,
                            const std::vector<ProgressWrite> &writes,
                            std::int64_t currentUnixTimeMs,
                            const ProgressCallback &callback);
    void onProgressBatchWritten(const std::vector<ProgressWrite> &writes, const StoreAnswer &answer, const ProgressCallback &callback);

    EventLoop &m_loop;
    TableStore &m_store;
    int m_partitionCount;
    std::map<JobId, RowVersion> m_progressVersions; ///< Versions of progress rows; a missing entry means that there is no row.
    /// Keys of the rows in which earlier leaderships stored their workers. writeWorkers() removes these rows, since its list contains their
    /// workers too; those beyond one transaction are left to its next calls.
    std::vector<std::string> m_formerWorkerRowKeys;
    std::string m_workerRowKey; ///< Key of the row that writeWorkers() last wrote.
    RowVersion m_workerRowVersion; ///< Last known version of that row.
    DelayedCalls m_delayedCalls; ///< Retries of writes.
};

} // namespace KingCupLadder
