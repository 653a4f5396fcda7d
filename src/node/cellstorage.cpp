// Encoding of the rows and the transactions that read and write them.
#include "cellstorage.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>
#include <array>

namespace KingCupLadder {

namespace {

const char jobTable[] = "jobs";
const char progressTable[] = "progress";
const char cellTable[] = "cell";
const char leaderKey[] = "leader";
const char layoutKey[] = "layout";
const char workersKey[] = "workers";
const char cancelSuffix[] = ".cancel"; // Appended to a job's ID in the key of its cancellation row.
const char rangeEndSuffix[] = "/"; // '/' sorts right after '.', so it ends the key range of one job's rows.

constexpr Duration transactTimeout{900};
constexpr Duration readTimeout{1000};
constexpr Duration retryInterval{60};
constexpr Duration layoutRetryInterval{250};
constexpr std::uint32_t maxPartitions = 1000;
constexpr std::size_t maxTransactionEntries = 100; // Conditions, writes and removals together.
constexpr int maxRowsPerRead = 500; // Of the store.
constexpr std::size_t maxEntriesPerJob = 4; // A condition, a write and two removals.
constexpr std::size_t maxTransactionBytes = 700000; // The store accepts 1 MB per transaction, and Base64 enlarges values by a third.

/// Returns the smallest key after @p key.
std::string keyAfter(const std::string &key)
{
    return key + '\0';
}

/// Returns the job of a cancellation row's key; empty for other keys.
std::optional<JobId> cancelledJobOfKey(const std::string &key)
{
    const std::size_t suffixStart = key.rfind(cancelSuffix);
    return suffixStart == std::string::npos ? std::nullopt : std::optional<JobId>(JobId(key.substr(0, suffixStart)));
}

std::optional<CellJob> decodeJobRow(const TableRow &row)
{
    const auto wire = decodeRow<CellWire::JobRow>(row.value);
    auto job = wire ? fromWire(*wire) : std::nullopt;
    if (!job) {
        logRateLimited(LogComponent::Platform, LogLevel::Error, "job row", "job row " + row.key.key + " can't be decoded; the job is skipped");
    }
    return job;
}

std::optional<JobProgress> decodeProgressRow(const TableRow &row)
{
    const auto wire = decodeRow<CellWire::ProgressRow>(row.value);
    if (!wire) {
        logRateLimited(LogComponent::Platform, LogLevel::Error, "progress row", "progress row " + row.key.key + " can't be decoded; the job's tasks run again");
        return std::nullopt;
    }
    return fromWire(*wire);
}

std::optional<LeaderRecord> decodeLeaderRow(const TableRow &row)
{
    const auto wire = decodeRow<CellWire::LeaderRow>(row.value);
    return wire && row.version.value() > 0 ? std::optional<LeaderRecord>(fromWire(*wire)) : std::nullopt;
}

std::string workersRowKey(Epoch epoch)
{
    return workersKey + ("-" + std::to_string(epoch.value()));
}

/// Returns the epoch of the leadership that writes the row; empty if the key names none.
std::optional<Epoch> epochOfWorkersRow(const std::string &key)
{
    const std::size_t prefix = sizeof(workersKey); // The separator takes the place of the terminating zero.
    const bool hasNumber = key.size() > prefix && key.size() < prefix + 20 && key.find_first_not_of("0123456789", prefix) == std::string::npos;
    return hasNumber ? std::optional<Epoch>(Epoch(std::stoull(key.substr(prefix)))) : std::nullopt;
}

/// Encodes a job's progress. If it is longer than a row may be, leaves out what a later leader can do without: it may then give a task more attempts
/// than its route allows, or start it without its checkpoint. Without a row, no end of the job could be acknowledged.
std::string encodeProgress(const ProgressWrite &write, std::int64_t currentUnixTimeMs)
{
    std::string value = encodeRow(toWire(write.progress, currentUnixTimeMs));
    if (value.size() <= maxRowBytes) {
        return value;
    }
    JobProgress reduced = write.progress;
    const std::array<std::pair<const char *, std::function<void(StepProgress &)>>, 3> reductions{{
        {"crashes", [](StepProgress &step) { step.crashes.clear(); }},
        {"failed runs", [](StepProgress &step) { step.failedRuns.clear(); }},
        {"checkpoints", [](StepProgress &step) { step.gangCheckpoint.clear(); }},
    }};
    for (const auto &[name, reduce] : reductions) {
        if (value.size() <= maxRowBytes) {
            break;
        }
        for (auto &[key, step] : reduced.steps) {
            reduce(step);
        }
        logRateLimited(LogComponent::Platform,
                       LogLevel::Error,
                       "progress too long",
                       "the progress of job " + write.job.value() + " takes " + std::to_string(value.size()) + " bytes; it is stored without its " + name);
        value = encodeRow(toWire(reduced, currentUnixTimeMs));
    }
    return value;
}

} // namespace

CellStorage::CellStorage(EventLoop &loop, TableStore &store, int partitions)
    : m_loop(loop), m_store(store), m_partitionCount(std::max(partitions, 1)), m_delayedCalls(loop)
{
}

void CellStorage::resolvePartitions(const std::function<void()> &done)
{
    const std::string key = layoutKey;
    m_store.read(RangeRead{cellTable, {}, key, key + rangeEndSuffix, 1}, readTimeout, [this, done](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done && answer.rows.empty()) {
            storePartitions(done);
        } else if (answer.outcome == StoreOutcome::Done && adoptPartitions(answer.rows.front())) {
            done();
        } else {
            retryResolvingPartitions(done);
        }
    });
}

void CellStorage::storePartitions(const std::function<void()> &done)
{
    CellWire::LayoutRow row;
    row.set_job_partitions(static_cast<std::uint32_t>(m_partitionCount));
    const RowKey key{cellTable, {}, layoutKey};
    Transaction transaction;
    transaction.conditions.push_back(RowCondition{key, RowVersion()});
    transaction.writes.push_back(TableWrite{key, encodeRow(row)});
    m_store.transact(transaction, transactTimeout, [this, done](const StoreAnswer &answer) {
        const bool isAdopted = answer.outcome == StoreOutcome::Conflict && !answer.rows.empty() && adoptPartitions(answer.rows.front());
        if (answer.outcome == StoreOutcome::Done || isAdopted) {
            done();
        } else {
            retryResolvingPartitions(done);
        }
    });
}

void CellStorage::retryResolvingPartitions(const std::function<void()> &done)
{
    m_delayedCalls.after(layoutRetryInterval, [this, done] { resolvePartitions(done); });
}

bool CellStorage::adoptPartitions(const TableRow &row)
{
    const auto layout = decodeRow<CellWire::LayoutRow>(row.value);
    const std::uint32_t count = layout ? layout->job_partitions() : 0;
    if (count < 1 || count > maxPartitions) {
        logRateLimited(LogComponent::Platform, LogLevel::Error, "layout row", "the row of the cell's layout can't be used; the daemon does not serve requests");
        return false;
    }
    if (static_cast<int>(count) != m_partitionCount) {
        logLine(LogComponent::Platform,
                LogLevel::Info,
                "uses " + std::to_string(count) + " partitions for jobs, as stored, instead of " + std::to_string(m_partitionCount) + " by its settings");
    }
    m_partitionCount = static_cast<int>(count);
    return true;
}

std::string CellStorage::partitionOf(const JobId &id) const
{
    std::uint64_t hash = 1469598103934665603ULL; // FNV-1a: the same in all processes and versions, unlike std::hash.
    for (const char c : id.value()) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return "j" + std::to_string(hash % static_cast<std::uint64_t>(m_partitionCount));
}

RowKey CellStorage::jobRowKey(const JobId &id) const
{
    return RowKey{jobTable, partitionOf(id), id.value()};
}

RowKey CellStorage::cancelRowKey(const JobId &id) const
{
    return RowKey{jobTable, partitionOf(id), id.value() + cancelSuffix};
}

RowKey CellStorage::progressRowKey(const JobId &id) const
{
    return RowKey{progressTable, partitionOf(id), id.value()};
}

void CellStorage::admit(const CellJob &job, TimePoint deadline, const std::function<void(AdmitOutcome)> &callback)
{
    attemptAdmission(job, deadline, false, callback);
}

void CellStorage::attemptAdmission(const CellJob &job, TimePoint deadline, bool mayBeStored, const std::function<void(AdmitOutcome)> &callback)
{
    Transaction transaction;
    transaction.conditions.push_back(RowCondition{jobRowKey(job.id), RowVersion()});
    transaction.conditions.push_back(RowCondition{progressRowKey(job.id), RowVersion()});
    transaction.writes.push_back(TableWrite{jobRowKey(job.id), encodeRow(toWire(job))});
    const Duration attemptTimeout = std::min(transactTimeout, deadline - m_loop.now());
    m_store.transact(transaction, attemptTimeout, [this, job, deadline, mayBeStored, callback](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done) {
            callback(AdmitOutcome::Stored);
            return;
        }
        if (answer.outcome == StoreOutcome::Conflict) {
            callback(AdmitOutcome::AlreadyExists);
            return;
        }
        const bool unknown = mayBeStored || answer.outcome == StoreOutcome::Unknown;
        if (m_loop.now() + retryInterval >= deadline) {
            callback(unknown ? AdmitOutcome::Unknown : AdmitOutcome::NotStored);
            return;
        }
        m_delayedCalls.after(retryInterval, [this, job, deadline, unknown, callback] { attemptAdmission(job, deadline, unknown, callback); });
    });
}

void CellStorage::cancel(const JobId &id, TimePoint deadline, const std::function<void(bool)> &callback)
{
    attemptCancellation(id, deadline, callback);
}

void CellStorage::attemptCancellation(const JobId &id, TimePoint deadline, const std::function<void(bool)> &callback)
{
    Transaction transaction;
    transaction.writes.push_back(TableWrite{cancelRowKey(id), "1"});
    const Duration attemptTimeout = std::min(transactTimeout, deadline - m_loop.now());
    m_store.transact(transaction, attemptTimeout, [this, id, deadline, callback](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done) {
            callback(true);
            return;
        }
        if (m_loop.now() + retryInterval >= deadline) {
            callback(false);
            return;
        }
        m_delayedCalls.after(retryInterval, [this, id, deadline, callback] { attemptCancellation(id, deadline, callback); });
    });
}

void CellStorage::readState(const JobId &id, Duration timeout, const std::function<void(const StoredState &)> &callback)
{
    const std::string partition = partitionOf(id);
    const TimePoint deadline = m_loop.now() + timeout;
    // The job rows are read first. A job that ends between the two reads loses its job row when it gets its final progress row, so in the
    // other order both reads could miss it. The limit of 2 covers the job row and the cancellation row.
    m_store.read(RangeRead{jobTable, partition, id.value(), id.value() + rangeEndSuffix, 2},
                 timeout,
                 [this, id, partition, deadline, callback](const StoreAnswer &jobs) {
                     if (jobs.outcome != StoreOutcome::Done) {
                         callback(StoredState{});
                         return;
                     }
                     const Duration remainingTime = std::max(deadline - m_loop.now(), Duration(1));
                     m_store.read(RangeRead{progressTable, partition, id.value(), id.value() + rangeEndSuffix, 1},
                                  remainingTime,
                                  [jobs, callback](const StoreAnswer &progress) {
                                      StoredState state;
                                      state.wasRead = progress.outcome == StoreOutcome::Done;
                                      for (const TableRow &row : jobs.rows) {
                                          if (cancelledJobOfKey(row.key.key)) {
                                              // The job row sorts before its cancellation row. Without a job row, the job has ended or never existed.
                                              state.state = state.state == CellJobState::Unknown ? state.state : CellJobState::Cancelled;
                                          } else if (const auto job = decodeJobRow(row)) {
                                              state.state = CellJobState::Pending;
                                              state.workspace = job->workspace;
                                          }
                                      }
                                      for (const TableRow &row : progress.rows) {
                                          const auto stored = decodeProgressRow(row);
                                          // Non-final progress only turns Pending into Active; a cancelled job stays Cancelled.
                                          if (stored && (isFinal(stored->finalState) || state.state == CellJobState::Pending)) {
                                              state.state = isFinal(stored->finalState) ? stored->finalState : CellJobState::Active;
                                              state.workspace = stored->workspace;
                                          }
                                      }
                                      callback(state);
                                  });
                 });
}

struct CellStorage::LoadOperation {
    StoredJobs result;
    int remainingPartitions = 0;
    bool failed = false;
    std::function<void(std::optional<StoredJobs>)> callback;
};

/// Read position within one partition.
struct CellStorage::LoadCursor {
    std::shared_ptr<LoadOperation> load;
    std::string partition;
    bool readsProgress = false; ///< True while reading progress rows, which follow the job rows of the partition.
    std::string from;
};

void CellStorage::loadAll(const std::function<void(std::optional<StoredJobs>)> &callback)
{
    auto load = std::make_shared<LoadOperation>();
    load->callback = callback;
    load->remainingPartitions = m_partitionCount;
    for (int partition = 0; partition < m_partitionCount; ++partition) {
        loadNextPage(LoadCursor{load, "j" + std::to_string(partition), false, {}});
    }
}

void CellStorage::loadNextPage(const LoadCursor &cursor)
{
    const RangeRead range{cursor.readsProgress ? progressTable : jobTable, cursor.partition, cursor.from, {}, maxRowsPerRead};
    m_store.read(range, readTimeout, [this, cursor](const StoreAnswer &answer) { onPageLoaded(cursor, answer); });
}

void CellStorage::onPageLoaded(LoadCursor cursor, const StoreAnswer &answer)
{
    LoadOperation &load = *cursor.load;
    if (load.failed) {
        return;
    }
    if (answer.outcome != StoreOutcome::Done) {
        load.failed = true;
        load.callback(std::nullopt);
        return;
    }
    // Keeps the lowest version of all pages: changes after it may be missing from some of them, so the change feed is read from there.
    if (load.result.version == RowVersion() || answer.version < load.result.version) {
        load.result.version = answer.version;
    }
    for (const TableRow &row : answer.rows) {
        if (const auto cancelled = cancelledJobOfKey(row.key.key)) {
            load.result.jobs[*cancelled].cancelled = true;
            continue;
        }
        StoredJobs::Entry &entry = load.result.jobs[JobId(row.key.key)];
        if (cursor.readsProgress) {
            entry.progress = decodeProgressRow(row);
            m_progressVersions[JobId(row.key.key)] = row.version;
        } else {
            entry.job = decodeJobRow(row);
            entry.jobRowVersion = row.version;
        }
    }
    if (answer.truncated && !answer.rows.empty()) {
        cursor.from = keyAfter(answer.rows.back().key.key);
    } else if (!cursor.readsProgress) {
        cursor.readsProgress = true;
        cursor.from.clear();
    } else {
        if (--load.remainingPartitions == 0) {
            load.callback(std::move(load.result));
        }
        return;
    }
    loadNextPage(cursor);
}

void CellStorage::readChanges(RowVersion after, const std::function<void(bool, const std::vector<JobChange> &, RowVersion)> &callback)
{
    m_store.feed(FeedRead{jobTable, after, Duration(0)}, readTimeout, [callback, after](const StoreAnswer &answer) {
        std::vector<JobChange> changes;
        if (answer.outcome != StoreOutcome::Done) {
            callback(answer.outcome == StoreOutcome::HistoryTruncated, changes, after);
            return;
        }
        for (const TableRow &row : answer.rows) {
            if (row.removed) {
                continue;
            }
            JobChange change;
            change.cancelled = cancelledJobOfKey(row.key.key);
            if (!change.cancelled) {
                change.admitted = decodeJobRow(row);
            }
            changes.push_back(std::move(change));
        }
        callback(false, changes, answer.version);
    });
}

void CellStorage::clearProgressVersions()
{
    m_progressVersions.clear();
}

void CellStorage::writeProgress(const std::vector<ProgressWrite> &writes, std::int64_t currentUnixTimeMs, const ProgressCallback &callback)
{
    std::map<std::string, std::vector<ProgressWrite>> partitions;
    for (const ProgressWrite &write : writes) {
        partitions[partitionOf(write.job)].push_back(write);
    }
    for (const auto &[partition, partitionWrites] : partitions) {
        for (std::size_t first = 0; first < partitionWrites.size(); first += maxTransactionEntries / maxEntriesPerJob) {
            const std::size_t end = std::min(partitionWrites.size(), first + maxTransactionEntries / maxEntriesPerJob);
            writeProgressBatch(partition,
                               {partitionWrites.begin() + static_cast<std::ptrdiff_t>(first), partitionWrites.begin() + static_cast<std::ptrdiff_t>(end)},
                               currentUnixTimeMs,
                               callback);
        }
    }
}

void CellStorage::writeProgressBatch(const std::string & /*partition*/,
                                     const std::vector<ProgressWrite> &writes,
                                     std::int64_t currentUnixTimeMs,
                                     const ProgressCallback &callback)
{
    Transaction transaction;
    std::vector<ProgressWrite> included;
    std::size_t bytes = 0;
    for (const ProgressWrite &write : writes) {
        const auto version = m_progressVersions.find(write.job);
        std::string value = encodeProgress(write, currentUnixTimeMs);
        bytes += value.size();
        if (bytes > maxTransactionBytes) {
            // Reported as not stored, so that the scheduler includes it in a later write.
            m_loop.defer([write, callback] { callback(write, false, CellJobState::Unknown); });
            continue;
        }
        transaction.conditions.push_back(RowCondition{progressRowKey(write.job), version == m_progressVersions.end() ? RowVersion() : version->second});
        transaction.writes.push_back(TableWrite{progressRowKey(write.job), std::move(value)});
        if (isFinal(write.progress.finalState)) {
            transaction.removals.push_back(jobRowKey(write.job));
            if (write.progress.finalState == CellJobState::Cancelled) {
                transaction.removals.push_back(cancelRowKey(write.job));
            }
        }
        included.push_back(write);
    }
    m_store.transact(
        transaction, transactTimeout, [this, included, callback](const StoreAnswer &answer) { onProgressBatchWritten(included, answer, callback); });
}

void CellStorage::onProgressBatchWritten(const std::vector<ProgressWrite> &writes, const StoreAnswer &answer, const ProgressCallback &callback)
{
    std::map<JobId, const TableRow *> currentRows;
    for (const TableRow &row : answer.rows) {
        currentRows[JobId(row.key.key)] = &row;
    }
    for (const ProgressWrite &write : writes) {
        if (answer.outcome == StoreOutcome::Done) {
            m_progressVersions[write.job] = answer.version;
            callback(write, true, CellJobState::Unknown);
            continue;
        }
        CellJobState existingFinalState = CellJobState::Unknown;
        const auto row = currentRows.find(write.job);
        if (answer.outcome == StoreOutcome::Conflict && row != currentRows.end()) {
            m_progressVersions[write.job] = row->second->version;
            const auto stored = row->second->version.value() > 0 ? decodeProgressRow(*row->second) : std::nullopt;
            existingFinalState = stored ? stored->finalState : CellJobState::Unknown;
        }
        callback(write, isFinal(existingFinalState), existingFinalState);
    }
}

struct CellStorage::WorkersRead {
    std::map<WorkerId, WorkerRecord> records;
    std::function<void(bool, const std::vector<WorkerRecord> &)> callback;
};

void CellStorage::readWorkers(const std::function<void(bool, const std::vector<WorkerRecord> &)> &callback)
{
    m_formerWorkerRowKeys.clear();
    auto read = std::make_shared<WorkersRead>();
    read->callback = callback;
    readWorkersPage(read, workersKey);
}

void CellStorage::readWorkersPage(const std::shared_ptr<WorkersRead> &read, const std::string &from)
{
    const RangeRead range{cellTable, {}, from, std::string(workersKey) + rangeEndSuffix, maxRowsPerRead};
    m_store.read(range, readTimeout, [this, read](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done) {
            read->callback(false, {});
            return;
        }
        for (const TableRow &stored : answer.rows) {
            m_formerWorkerRowKeys.push_back(stored.key.key);
            if (const auto row = decodeRow<CellWire::WorkersRow>(stored.value)) {
                mergeWorkerRecords(fromWire(*row), read->records);
            } else {
                logRateLimited(LogComponent::Platform, LogLevel::Error, "worker row", "worker row " + stored.key.key + " can't be decoded and is skipped");
            }
        }
        if (answer.truncated && !answer.rows.empty()) {
            readWorkersPage(read, keyAfter(answer.rows.back().key.key));
            return;
        }
        std::vector<WorkerRecord> merged;
        merged.reserve(read->records.size());
        for (auto &[id, record] : read->records) {
            merged.push_back(std::move(record));
        }
        read->callback(true, merged);
    });
}

void CellStorage::writeWorkers(Epoch epoch, const std::vector<WorkerRecord> &records, const std::function<void(bool)> &callback)
{
    const RowKey key{cellTable, {}, workersRowKey(epoch)};
    if (m_workerRowKey != key.key) {
        m_workerRowKey = key.key;
        m_workerRowVersion = RowVersion();
    }
    Transaction transaction;
    transaction.conditions.push_back(RowCondition{key, m_workerRowVersion});
    transaction.writes.push_back(TableWrite{key, encodeRow(toWire(records))});
    // Further rows are removed by later writes.
    std::vector<std::string> remainingKeys;
    for (const std::string &formerKey : m_formerWorkerRowKeys) {
        const auto formerEpoch = epochOfWorkersRow(formerKey);
        if (formerEpoch && !(*formerEpoch < epoch)) {
            continue; // A leader that was suspended while it loaded may have read the row of its successor.
        }
        if (transaction.removals.size() + 2 < maxTransactionEntries) {
            transaction.removals.push_back(RowKey{cellTable, {}, formerKey});
        } else {
            remainingKeys.push_back(formerKey);
        }
    }
    m_store.transact(transaction, transactTimeout, [this, key, remainingKeys, callback](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done) {
            m_formerWorkerRowKeys = remainingKeys;
            m_workerRowVersion = answer.version;
        } else if (answer.outcome == StoreOutcome::Conflict) {
            // An earlier write without an answer took effect. The caller repeats its write with the version that is known now.
            for (const TableRow &row : answer.rows) {
                m_workerRowVersion = row.key == key ? row.version : m_workerRowVersion;
            }
        }
        callback(answer.outcome == StoreOutcome::Done);
    });
}

void CellStorage::readLeader(const std::function<void(bool, const std::optional<LeaderRecord> &, RowVersion)> &callback)
{
    const std::string key = leaderKey;
    m_store.read(RangeRead{cellTable, {}, key, key + rangeEndSuffix, 1}, readTimeout, [callback](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done || answer.rows.empty()) {
            callback(answer.outcome == StoreOutcome::Done, std::nullopt, RowVersion());
            return;
        }
        callback(true, decodeLeaderRow(answer.rows.front()), answer.rows.front().version);
    });
}

void CellStorage::writeLeader(const LeaderRecord &record,
                              RowVersion expected,
                              const std::function<void(StoreOutcome, const std::optional<LeaderRecord> &, RowVersion)> &callback)
{
    const RowKey key{cellTable, {}, leaderKey};
    Transaction transaction;
    transaction.conditions.push_back(RowCondition{key, expected});
    transaction.writes.push_back(TableWrite{key, encodeRow(toWire(record))});
    m_store.transact(transaction, transactTimeout, [callback](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Conflict && !answer.rows.empty()) {
            callback(answer.outcome, decodeLeaderRow(answer.rows.front()), answer.rows.front().version);
            return;
        }
        callback(answer.outcome, std::nullopt, answer.version);
    });
}

} // namespace KingCupLadder
