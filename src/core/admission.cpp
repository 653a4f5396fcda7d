// Each job has a queue of pending writes. Only the front one is processed, so the states of a job reach the store in the order
// in which they were recorded.
#include "admission.h"

#include "admissionqueues.h"
#include "admissionrows.h"
#include "backoff.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace KingCupLadder {

using namespace AdmissionRows;

namespace {

/// Rows written for one submission; also the smallest batch.
constexpr std::size_t rowsPerJob = 2;

Error invalidInput(const char *message, const char *remedy)
{
    return Error{ErrorKind::InvalidInput, message, remedy};
}

Error specConflict()
{
    return Error{ErrorKind::Conflict, "a different job with this id already exists", "use a new id or idempotency key"};
}

} // namespace

class Admission::Private
{
public:
    Private(const AdmissionSettings &admissionSettings, NextOp next)
        : settings(admissionSettings)
        , nextOp(std::move(next))
        , backoff(BackoffSettings{admissionSettings.initialBackoff, admissionSettings.maxBackoff}, admissionSettings.seed)
        , batchRows(admissionSettings.maxRows)
    {
    }

    struct PendingWrite {
        bool submission = false;
        OpId op; ///< Of a submission.
        JobRecord record; ///< Of a submission.
        JobState state = JobState::Queued; ///< Of a state change.
        std::string reason;
        std::optional<RowFence> fence; ///< Of a state change.
        bool answered = false; ///< The caller was told "outcome unknown"; the write is kept until its outcome is known.
        bool replyLost = false; ///< A transaction with this write got no reply and may still take effect.
        bool readFirst = false; ///< The row must be read before the next transaction.
    };

    /// The pending writes of one job, in the order in which they were requested.
    struct WriteQueue {
        std::deque<PendingWrite> pendingWrites;
        bool inFlight = false; ///< The front write is part of the operation in flight; otherwise the job is in a stage queue.
    };

    struct SubmissionDeadline {
        TimePoint at{};
        JobId job;
        OpId op;
    };

    /// Moves jobs from the queue of the stage to batchJobs until @p tryAdd, which adds a job to the next operation, returns false.
    template<typename TryTake>
    void moveToBatch(AdmissionStage stage, TryTake tryAdd)
    {
        const JobId *front = queues.front(stage);
        while (front != nullptr && tryAdd(*front)) {
            writeQueues.at(*front).inFlight = true;
            batchJobs.push_back(*front);
            queues.popFront(stage);
            front = queues.front(stage);
        }
    }

    // ---- pending writes

    void enqueue(const JobId &job, PendingWrite write, TimePoint now)
    {
        WriteQueue &writeQueue = writeQueues[job];
        writeQueue.pendingWrites.push_back(std::move(write));
        ++pendingWriteCount;
        if (writeQueue.pendingWrites.size() == 1) {
            advance(job, now);
        }
    }

    void popFront(const JobId &job)
    {
        WriteQueue &writeQueue = writeQueues.at(job);
        pendingSubmissionCount -= writeQueue.pendingWrites.front().submission ? 1 : 0;
        writeQueue.pendingWrites.pop_front();
        --pendingWriteCount;
    }

    /// Completes front writes that need no store operation and queues the job for the first one that does. @p since: when that write
    /// began to wait for a batch.
    void advance(const JobId &job, TimePoint since)
    {
        WriteQueue &writeQueue = writeQueues.at(job);
        while (!writeQueue.pendingWrites.empty()) {
            const std::optional<AdmissionStage> stage = nextStage(job, writeQueue.pendingWrites.front());
            if (stage) {
                queues.push(job, *stage, since);
                return;
            }
            popFront(job);
        }
        writeQueues.erase(job);
        // Only a job without pending writes may be evicted, because the writes in the stage queues need its cached rows.
        const auto rows = cachedRows.find(job);
        if (rows != cachedRows.end() && (isFinal(rows->second.record.state) || cachedRows.size() > settings.maxCachedJobs)) {
            cachedRows.erase(rows);
        }
    }

    void finishFront(const JobId &job, TimePoint now)
    {
        popFront(job);
        advance(job, backdatedWaitStart(now));
    }

    /// A backdated start of the wait for a batch, for a write that has already waited and must not wait for another flush interval.
    [[nodiscard]] TimePoint backdatedWaitStart(TimePoint now) const
    {
        return now - settings.flushInterval;
    }

    /// Returns the stage in which the write has to wait. Returns nothing if the write is complete; for a state change, this function has
    /// then emitted JobStateStored or JobStateRefused.
    [[nodiscard]] std::optional<AdmissionStage> nextStage(const JobId &job, const PendingWrite &write)
    {
        if (write.submission) {
            return write.readFirst ? AdmissionStage::NeedRow : AdmissionStage::Ready;
        }
        const auto rows = cachedRows.find(job);
        if (rows == cachedRows.end()) {
            return AdmissionStage::NeedRow;
        }
        const JobRecord &stored = rows->second.record;
        switch (decideTransition(stored, wantedRecord(stored, write))) {
        case TransitionDecision::Done:
            outputs.emplace_back(JobStateStored{job, write.state});
            return std::nullopt;
        case TransitionDecision::Refuse:
            outputs.emplace_back(JobStateRefused{job, write.state, stored.state, refusalReason(stored)});
            return std::nullopt;
        case TransitionDecision::Write:
            break;
        }
        return isFinal(write.state) && !rows->second.queueRowVersion ? AdmissionStage::NeedQueueRow : AdmissionStage::Ready;
    }

    [[nodiscard]] JobRecord wantedRecord(const JobRecord &stored, const PendingWrite &write) const
    {
        JobRecord wanted = stored;
        wanted.state = write.state;
        wanted.reason = write.reason;
        if (write.state == JobState::Started) {
            wanted.reason = "started by " + settings.self.value() + "/" + std::to_string(settings.incarnation.value());
        }
        return wanted;
    }

    // ---- answers to callers

    void refuse(const PendingWrite &write, const Error &error, ExecutionStatus ran, Duration retryAfter)
    {
        if (!write.answered) {
            outputs.emplace_back(CallerAnswer{write.op, error, ran, retryAfter, {}});
        }
    }

    void refuseUnknown(const PendingWrite &write, ErrorKind kind, const std::string &message)
    {
        refuse(write,
               Error{kind, message, "query job " + write.record.spec.id.value() + " before submitting it again"},
               ExecutionStatus::Unknown,
               settings.retryAfter);
    }

    void accept(const PendingWrite &write, bool existed, const JobRecord &stored)
    {
        if (!write.answered) {
            outputs.emplace_back(CallerAnswer{write.op, {}, ExecutionStatus::NotRun, Duration(0), JobAccepted{stored.spec.id, existed}});
        }
        // A job that already existed is forwarded as well, because the daemon that stored it may have crashed before forwarding it.
        if (stored.state == JobState::Queued) {
            outputs.emplace_back(JobStored{stored});
        }
    }

    /// Completes a submission whose job row exists. After a lost reply, a row equal to the submitted record counts as written by this
    /// submission; every other row means that the job existed before.
    void resolveSubmission(const JobId &job, const Row &row, TimePoint now)
    {
        const PendingWrite &write = writeQueues.at(job).pendingWrites.front();
        const auto stored = JobRecord::fromJson(row.value);
        if (stored && stored->spec == write.record.spec) {
            cachedRows[job] = JobRows{*stored, row.version, std::nullopt};
            accept(write, !write.replyLost || row.value != write.record.toJson(), *stored);
        } else {
            refuse(write, specConflict(), ExecutionStatus::NotRun, Duration(0));
        }
        finishFront(job, now);
    }

    /// Handles the current job row of a state change, from a read or from a conflict reply.
    void resolveUpdate(const JobId &job, const Row &row, TimePoint now)
    {
        const PendingWrite &write = writeQueues.at(job).pendingWrites.front();
        const auto stored = JobRecord::fromJson(row.value);
        if (row.version != RowVersion() && stored) {
            cachedRows[job] = JobRows{*stored, row.version, std::nullopt};
            advance(job, backdatedWaitStart(now));
            return;
        }
        cachedRows.erase(job);
        // The row is absent (version 0) or cannot be parsed.
        const char *reason = stored || row.value.empty() ? "the job does not exist in the store" : "the stored job row is malformed";
        outputs.emplace_back(JobStateRefused{job, write.state, std::nullopt, reason});
        finishFront(job, now);
    }

    // ---- sending

    void sendNext(TimePoint now)
    {
        if (inFlight != OpId() || now < nextOperationAt || !isDue(now)) {
            return;
        }
        const bool needRow = queues.size(AdmissionStage::NeedRow) > 0;
        const bool needQueueRow = queues.size(AdmissionStage::NeedQueueRow) > 0;
        // Alternates between reads and transactions so that neither can starve the other.
        if (queues.size(AdmissionStage::Ready) > 0 && (latestIsRead || !(needRow || needQueueRow))) {
            sendTransaction(now);
        } else if (needRow) {
            sendRead(AdmissionStage::NeedRow, jobTable, now);
        } else if (needQueueRow) {
            sendRead(AdmissionStage::NeedQueueRow, queueTable, now);
        }
    }

    [[nodiscard]] bool isDue(TimePoint now) const
    {
        const auto since = queues.pendingSince();
        return since && (now - *since >= settings.flushInterval || queues.size(AdmissionStage::Ready) * rowsPerJob >= batchRows);
    }

    void beginOperation(TimePoint now, bool isRead)
    {
        inFlight = nextOp();
        sentAt = now;
        latestIsRead = isRead;
    }

    void sendTransaction(TimePoint now)
    {
        StoreTransaction command;
        std::map<std::pair<std::string, std::string>, RowVersion> fences;
        moveToBatch(AdmissionStage::Ready, [&](const JobId &job) {
            if (command.writes.size() + rowsPerJob > batchRows) {
                return false;
            }
            const PendingWrite &write = writeQueues.at(job).pendingWrites.front();
            if (write.submission) {
                appendInserts(command.writes, write.record);
            } else {
                const JobRows &rows = cachedRows.at(job);
                // One transaction can't require two versions of the same row; the second write waits for the next transaction.
                if (write.fence
                    && fences.emplace(std::make_pair(write.fence->table, write.fence->key), write.fence->version).first->second != write.fence->version) {
                    return false;
                }
                appendUpdate(command.writes, rows, wantedRecord(rows.record, write));
            }
            return true;
        });
        for (const auto &[row, version] : fences) {
            command.writes.push_back(RowWrite{RowWrite::Kind::Check, row.first, row.second, version, {}});
        }
        beginOperation(now, false);
        command.op = inFlight;
        outputs.emplace_back(std::move(command));
    }

    void sendRead(AdmissionStage stage, const char *table, TimePoint now)
    {
        StoreRead command;
        command.table = table;
        moveToBatch(stage, [&](const JobId &job) {
            if (command.keys.size() >= settings.maxRows) {
                return false;
            }
            command.keys.push_back(keyOf(job, table));
            return true;
        });
        readTable = table;
        beginOperation(now, true);
        command.op = inFlight;
        outputs.emplace_back(std::move(command));
    }

    [[nodiscard]] std::string keyOf(const JobId &job, const std::string &table) const
    {
        return table == jobTable ? job.value() : queueRowKey(cachedRows.at(job).record.shard, job);
    }

    // ---- replies of the store

    void onReply(const StoreReply &reply, TimePoint now)
    {
        inFlight = OpId();
        const std::vector<JobId> jobs = std::exchange(batchJobs, {});
        for (const JobId &job : jobs) {
            writeQueues.at(job).inFlight = false;
        }
        if (latestIsRead) {
            onReadReply(jobs, reply, now);
        } else if (reply.status == StoreStatus::Ok) {
            onCommitted(jobs, RowIndex(reply.rows), now);
        } else if (reply.status == StoreStatus::Unknown || !onConflict(jobs, RowIndex(reply.rows), now)) {
            onReplyLost(jobs, now);
        }
    }

    void onCommitted(const std::vector<JobId> &jobs, const RowIndex &rows, TimePoint now)
    {
        backoff.reset();
        batchRows = settings.maxRows;
        for (const JobId &job : jobs) {
            const PendingWrite write = writeQueues.at(job).pendingWrites.front();
            const JobRecord record = write.submission ? write.record : wantedRecord(cachedRows.at(job).record, write);
            cacheWrittenRows(job, record, rows);
            if (write.submission) {
                accept(write, false, record);
            } else {
                outputs.emplace_back(JobStateStored{job, write.state});
            }
            finishFront(job, now);
        }
    }

    void cacheWrittenRows(const JobId &job, const JobRecord &record, const RowIndex &rows)
    {
        const Row *jobRow = rows.find(jobTable, job.value());
        if (jobRow == nullptr) {
            cachedRows.erase(job);
            return;
        }
        const Row *queueRow = rows.find(queueTable, queueRowKey(record.shard, job));
        const auto before = cachedRows.find(job);
        std::optional<RowVersion> queueRowVersion = before == cachedRows.end() ? std::nullopt : before->second.queueRowVersion;
        if (queueRow != nullptr) {
            queueRowVersion = queueRow->version;
        }
        cachedRows[job] = JobRows{record, jobRow->version, queueRowVersion};
    }

    /// Returns false if the reply lists no row of the batch and therefore does not explain the conflict. Such a reply is handled like a lost
    /// one.
    bool onConflict(const std::vector<JobId> &jobs, const RowIndex &rows, TimePoint now)
    {
        const auto isListed = [&](const JobId &job) {
            return isFenced(job, rows) || rows.find(jobTable, job.value()) != nullptr || rows.find(queueTable, frontQueueRowKey(job)) != nullptr;
        };
        if (std::none_of(jobs.begin(), jobs.end(), isListed)) {
            return false;
        }
        backoff.reset();
        for (const JobId &job : jobs) {
            if (isFenced(job, rows)) {
                outputs.emplace_back(JobStateRefused{job, writeQueues.at(job).pendingWrites.front().state, std::nullopt, "the shard has another owner", true});
                finishFront(job, now);
            } else if (isListed(job)) {
                onRowConflict(job, rows, now);
            } else {
                queues.push(job, AdmissionStage::Ready, backdatedWaitStart(now));
            }
        }
        return true;
    }

    /// Whether the reply shows that the fence row of the front write has another version.
    [[nodiscard]] bool isFenced(const JobId &job, const RowIndex &rows) const
    {
        const std::optional<RowFence> &fence = writeQueues.at(job).pendingWrites.front().fence;
        const Row *row = fence ? rows.find(fence->table, fence->key) : nullptr;
        return row != nullptr && row->version != fence->version;
    }

    [[nodiscard]] std::string frontQueueRowKey(const JobId &job) const
    {
        const PendingWrite &write = writeQueues.at(job).pendingWrites.front();
        return queueRowKey(write.submission ? write.record.shard : cachedRows.at(job).record.shard, job);
    }

    void onRowConflict(const JobId &job, const RowIndex &rows, TimePoint now)
    {
        const PendingWrite &write = writeQueues.at(job).pendingWrites.front();
        const Row *jobRow = rows.find(jobTable, job.value());
        if (write.submission && jobRow != nullptr) {
            resolveSubmission(job, *jobRow, now);
        } else if (write.submission) {
            // The queue row exists without its job row. The job must not use a queue row that its own submission did not write.
            refuse(write, specConflict(), ExecutionStatus::NotRun, Duration(0));
            finishFront(job, now);
        } else if (jobRow != nullptr) {
            resolveUpdate(job, *jobRow, now);
        } else {
            cachedRows.at(job).queueRowVersion = rows.find(queueTable, frontQueueRowKey(job))->version;
            advance(job, backdatedWaitStart(now));
        }
    }

    void onReplyLost(const std::vector<JobId> &jobs, TimePoint now)
    {
        nextOperationAt = now + backoff.next();
        // If the store never answers a certain transaction, smaller batches keep that transaction from blocking all other writes.
        batchRows = std::max(rowsPerJob, batchRows / 2);
        for (const JobId &job : jobs) {
            PendingWrite &write = writeQueues.at(job).pendingWrites.front();
            if (write.submission && !settings.readBackAfterLostReplies) {
                refuse(write, Error{ErrorKind::Unavailable, "the store did not answer", "submit the job again"}, ExecutionStatus::NotRun, settings.retryAfter);
                finishFront(job, now);
                continue;
            }
            write.replyLost = true;
            write.readFirst = true;
            if (!write.submission) {
                cachedRows.erase(job);
            }
            advance(job, backdatedWaitStart(now));
        }
    }

    void onReadReply(const std::vector<JobId> &jobs, const StoreReply &reply, TimePoint now)
    {
        const RowIndex rows(reply.rows);
        bool complete = reply.status == StoreStatus::Ok;
        for (const JobId &job : jobs) {
            const Row *row = reply.status == StoreStatus::Ok ? rows.find(readTable, keyOf(job, readTable)) : nullptr;
            if (row != nullptr) {
                onRowRead(job, *row, now);
            } else {
                complete = false;
                queues.push(job, readTable == jobTable ? AdmissionStage::NeedRow : AdmissionStage::NeedQueueRow, backdatedWaitStart(now));
            }
        }
        if (!complete) {
            nextOperationAt = now + backoff.next();
        }
    }

    void onRowRead(const JobId &job, const Row &row, TimePoint now)
    {
        PendingWrite &write = writeQueues.at(job).pendingWrites.front();
        if (readTable == queueTable) {
            cachedRows.at(job).queueRowVersion = row.version;
            advance(job, backdatedWaitStart(now));
        } else if (!write.submission) {
            resolveUpdate(job, row, now);
        } else if (row.version != RowVersion()) {
            resolveSubmission(job, row, now);
        } else {
            // The row is absent, but the lost transaction may still take effect. Inserting again determines the outcome: only one of the two
            // inserts can succeed.
            write.readFirst = false;
            advance(job, backdatedWaitStart(now));
        }
    }

    // ---- timeouts

    void expireSubmissions(TimePoint now)
    {
        while (!deadlines.empty() && deadlines.front().at <= now) {
            const SubmissionDeadline deadline = deadlines.front();
            deadlines.pop_front();
            const auto writeQueue = writeQueues.find(deadline.job);
            if (writeQueue != writeQueues.end()) {
                expireSubmission(deadline, writeQueue->second, now);
            }
        }
    }

    void expireSubmission(const SubmissionDeadline &deadline, WriteQueue &writeQueue, TimePoint now)
    {
        const auto write = std::find_if(writeQueue.pendingWrites.begin(), writeQueue.pendingWrites.end(), [&](const PendingWrite &candidate) {
            return candidate.submission && candidate.op == deadline.op;
        });
        if (write == writeQueue.pendingWrites.end()) {
            return;
        }
        refuseUnknown(*write, ErrorKind::OutcomeUnknown, "the store did not confirm the job in time");
        write->answered = true;
        const bool isFront = write == writeQueue.pendingWrites.begin();
        // A transaction with this write may still take effect, so the write is kept until its outcome is known.
        if (write->replyLost || (isFront && writeQueue.inFlight)) {
            return;
        }
        if (!isFront) {
            writeQueue.pendingWrites.erase(write);
            --pendingSubmissionCount;
            --pendingWriteCount;
            return;
        }
        queues.remove(deadline.job);
        popFront(deadline.job);
        advance(deadline.job, now);
    }

    AdmissionSettings settings;
    NextOp nextOp;
    Backoff backoff;
    std::size_t batchRows; ///< Row limit of the next transaction; settings.maxRows, halved after each lost reply until one succeeds.
    std::unordered_map<JobId, WriteQueue> writeQueues; ///< Jobs with pending writes; each is either in one of the stage queues or in batchJobs.
    std::unordered_map<JobId, JobRows> cachedRows;
    AdmissionQueues queues; ///< One queue per stage.
    std::size_t pendingWriteCount = 0; ///< Pending writes of all jobs.
    std::size_t pendingSubmissionCount = 0; ///< Pending writes that are submissions.
    std::deque<SubmissionDeadline> deadlines; ///< Ordered by time, because all submissions have the same timeout.
    TimePoint nextOperationAt{}; ///< No operation is sent earlier.
    OpId inFlight; ///< The operation in flight; 0 if there is none.
    TimePoint sentAt{};
    bool latestIsRead = false; ///< Whether the operation in flight, or else the last one, is a read.
    std::string readTable; ///< Table of the last read.
    std::vector<JobId> batchJobs; ///< Jobs of the operation in flight.
    std::vector<AdmissionOutput> outputs;
};

Admission::Admission() = default;

Admission::~Admission() = default;

Result<std::unique_ptr<Admission>> Admission::create(const AdmissionSettings &settings, NextOp nextOp, TimePoint /*now*/)
{
    if (settings.maxRows < rowsPerJob) {
        return invalidInput("maxRows is too small: a submission writes two rows", "set maxRows to at least 2");
    }
    if (settings.self.isEmpty() || !nextOp) {
        return invalidInput("the daemon id or the generator of operation ids is missing", "pass both");
    }
    std::unique_ptr<Admission> admission(new Admission);
    admission->d = std::make_unique<Private>(settings, std::move(nextOp));
    return admission;
}

void Admission::submit(OpId op, const JobRecord &record, TimePoint now)
{
    Private::PendingWrite write;
    write.submission = true;
    write.op = op;
    write.record = record;
    if (record.spec.id.isEmpty() || record.shard.isEmpty()) {
        d->refuse(write, invalidInput("the job has no id or no shard", "give the job an id and a route with a pool"), ExecutionStatus::NotRun, Duration(0));
        return;
    }
    // A spec that is not preserved by serialization could not be recognized when it is read back.
    const auto stored = JobRecord::fromJson(record.toJson());
    if (!stored || stored->spec != record.spec) {
        d->refuse(write,
                  invalidInput("the job contains text that is not valid UTF-8", "encode the payload, for example as Base64"),
                  ExecutionStatus::NotRun,
                  Duration(0));
        return;
    }
    if (d->pendingSubmissionCount >= d->settings.maxWaitingSubmissions) {
        d->refuseUnknown(write, ErrorKind::LimitReached, "too many submissions are waiting to be stored");
        return;
    }
    ++d->pendingSubmissionCount;
    d->deadlines.push_back({now + d->settings.admissionTimeout, record.spec.id, op});
    d->enqueue(record.spec.id, std::move(write), now);
    d->sendNext(now);
}

void Admission::updateState(const JobId &job, JobState state, const std::string &reason, TimePoint now, const std::optional<RowFence> &fence)
{
    const auto writeQueue = d->writeQueues.find(job);
    if (writeQueue != d->writeQueues.end() && !writeQueue->second.pendingWrites.back().submission && writeQueue->second.pendingWrites.back().state == state) {
        const std::optional<RowFence> &last = writeQueue->second.pendingWrites.back().fence;
        if (last.has_value() == fence.has_value() && (!fence || last->version == fence->version)) {
            return; // Duplicate of the last pending state change, which is still to be answered.
        }
    }
    Private::PendingWrite write;
    write.state = state;
    write.reason = reason;
    write.fence = fence;
    d->enqueue(job, std::move(write), now);
    d->sendNext(now);
}

bool Admission::onStoreReply(const StoreReply &reply, TimePoint now)
{
    if (reply.op == OpId() || reply.op != d->inFlight) {
        return false;
    }
    d->onReply(reply, now);
    d->sendNext(now);
    return true;
}

void Admission::tick(TimePoint now)
{
    if (d->inFlight != OpId() && now - d->sentAt >= d->settings.operationTimeout) {
        d->onReply(StoreReply{d->inFlight, StoreStatus::Unknown, {}}, now);
    }
    d->expireSubmissions(now);
    d->sendNext(now);
}

std::vector<AdmissionOutput> Admission::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

std::size_t Admission::pending() const
{
    return d->pendingWriteCount;
}

} // namespace KingCupLadder
