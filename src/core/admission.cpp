// Admission as one state machine over jobs. Each job has a queue of items; only the front item is worked on, so that the
// states of a job are written in the order in which they were recorded.
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

/// Rows of one submission; the smallest batch.
constexpr std::size_t rowsPerJob = 2;

Error invalid(const char *message, const char *remedy)
{
    return Error{ErrorKind::InvalidInput, message, remedy};
}

Error specConflict()
{
    return Error{ErrorKind::Conflict, "the job id belongs to another job", "use a new id or idempotency key"};
}

} // namespace

class Admission::Private
{
public:
    Private(const AdmissionSettings &admissionSettings, NextOp next)
        : settings(admissionSettings)
        , nextOp(std::move(next))
        , pause(BackoffSettings{admissionSettings.initialBackoff, admissionSettings.maxBackoff}, admissionSettings.seed)
        , batchRows(admissionSettings.maxRows)
    {
    }

    struct Item {
        bool submission = false;
        OpId op; ///< Of the submission.
        JobRecord record; ///< Of the submission.
        JobState state = JobState::Queued; ///< Of the state change.
        std::string reason;
        std::optional<RowFence> fence; ///< Of the state change.
        bool answered = false; ///< The caller got "outcome unknown"; the item is kept until that is settled.
        bool lost = false; ///< A transaction with this item got no answer and may still arrive.
        bool readFirst = false; ///< The rows have to be read before the next transaction.
    };

    struct Work {
        std::deque<Item> items;
        bool inFlight = false; ///< The front item belongs to the operation in flight; otherwise the job is queued.
    };

    struct Deadline {
        TimePoint at{};
        JobId job;
        OpId op;
    };

    /// Moves jobs of the stage into flight, as long as @p take accepts them.
    template<typename Take>
    void drain(AdmissionStage stage, Take take)
    {
        const JobId *front = queues.front(stage);
        while (front != nullptr && take(*front)) {
            works.at(*front).inFlight = true;
            batch.push_back(*front);
            queues.popFront(stage);
            front = queues.front(stage);
        }
    }

    // ---- items

    void add(const JobId &job, Item item, TimePoint now)
    {
        Work &work = works[job];
        work.items.push_back(std::move(item));
        ++itemCount;
        if (work.items.size() == 1) {
            advance(job, now);
        }
    }

    void popFront(const JobId &job)
    {
        Work &work = works.at(job);
        submissions -= work.items.front().submission ? 1 : 0;
        work.items.pop_front();
        --itemCount;
    }

    /// Settles front items that need nothing from the store and queues the first that does.
    void advance(const JobId &job, TimePoint since)
    {
        Work &work = works.at(job);
        while (!work.items.empty()) {
            const std::optional<AdmissionStage> stage = nextStage(job, work.items.front());
            if (stage) {
                queues.push(job, *stage, since);
                return;
            }
            popFront(job);
        }
        works.erase(job);
        const auto rows = known.find(job);
        if (rows != known.end() && (isFinal(rows->second.record.state) || known.size() > settings.maxKnownRows)) {
            known.erase(rows);
        }
    }

    void finishFront(const JobId &job, TimePoint now)
    {
        popFront(job);
        advance(job, followUp(now));
    }

    /// Work that has already waited for its batch does not wait for the next flush again.
    [[nodiscard]] TimePoint followUp(TimePoint now) const
    {
        return now - settings.flushInterval;
    }

    /// Empty: the item is settled.
    [[nodiscard]] std::optional<AdmissionStage> nextStage(const JobId &job, const Item &item)
    {
        if (item.submission) {
            return item.readFirst ? AdmissionStage::NeedRow : AdmissionStage::Ready;
        }
        const auto rows = known.find(job);
        if (rows == known.end()) {
            return AdmissionStage::NeedRow;
        }
        const JobRecord &stored = rows->second.record;
        switch (transition(stored, wantedRecord(stored, item))) {
        case Transition::Done:
            outputs.emplace_back(JobRecorded{job, item.state});
            return std::nullopt;
        case Transition::Refuse:
            outputs.emplace_back(JobRecordRefused{job, item.state, stored.state, refusalReason(stored)});
            return std::nullopt;
        case Transition::Write:
            break;
        }
        return isFinal(item.state) && !rows->second.queue ? AdmissionStage::NeedQueueRow : AdmissionStage::Ready;
    }

    [[nodiscard]] JobRecord wantedRecord(const JobRecord &stored, const Item &item) const
    {
        JobRecord wanted = stored;
        wanted.state = item.state;
        wanted.reason = item.reason;
        if (item.state == JobState::Started) {
            wanted.reason = "started by " + settings.self.value() + "/" + std::to_string(settings.incarnation.value());
        }
        return wanted;
    }

    // ---- answers

    void refuse(const Item &item, const Error &error, ExecutionStatus ran, Duration retryAfter)
    {
        if (!item.answered) {
            outputs.emplace_back(CallerAnswer{item.op, error, ran, retryAfter, {}});
        }
    }

    void refuseUnknown(const Item &item, ErrorKind kind, const std::string &message)
    {
        refuse(item,
               Error{kind, message, "query job " + item.record.spec.id.value() + " before submitting it again"},
               ExecutionStatus::Unknown,
               settings.retryAfter);
    }

    void accept(const Item &item, bool existed, const JobRecord &stored)
    {
        if (!item.answered) {
            outputs.emplace_back(CallerAnswer{item.op, {}, ExecutionStatus::NotRun, Duration(0), JobAccepted{stored.spec.id, existed}});
        }
        // Also for a job that existed: whoever stored it may have died before forwarding it.
        if (stored.state == JobState::Queued) {
            outputs.emplace_back(JobStored{stored});
        }
    }

    /// The job row of a submission exists.
    void settleSubmission(const JobId &job, const Row &row, TimePoint now)
    {
        const Item &item = works.at(job).items.front();
        const auto stored = JobRecord::fromJson(row.value);
        if (stored && stored->spec == item.record.spec) {
            known[job] = JobRows{*stored, row.version, std::nullopt};
            accept(item, !item.lost || row.value != item.record.toJson(), *stored);
        } else {
            refuse(item, specConflict(), ExecutionStatus::NotRun, Duration(0));
        }
        finishFront(job, now);
    }

    /// The job row that a state change concerns was read, or listed as a failed condition.
    void settleUpdate(const JobId &job, const Row &row, TimePoint now)
    {
        const Item &item = works.at(job).items.front();
        const auto stored = JobRecord::fromJson(row.value);
        if (row.version != RowVersion() && stored) {
            known[job] = JobRows{*stored, row.version, std::nullopt};
            advance(job, followUp(now));
            return;
        }
        known.erase(job);
        const char *reason = stored || row.value.empty() ? "the store has no such job" : "the stored job can't be read";
        outputs.emplace_back(JobRecordRefused{job, item.state, std::nullopt, reason});
        finishFront(job, now);
    }

    // ---- sending

    void step(TimePoint now)
    {
        if (inFlight != OpId() || now < notBefore || !isDue(now)) {
            return;
        }
        const bool needRow = queues.size(AdmissionStage::NeedRow) > 0;
        const bool needQueueRow = queues.size(AdmissionStage::NeedQueueRow) > 0;
        // Alternates, so that a stream of reads can't hold up transactions or the other way round.
        if (queues.size(AdmissionStage::Ready) > 0 && (lastWasRead || !(needRow || needQueueRow))) {
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

    void sent(TimePoint now, bool read)
    {
        inFlight = nextOp();
        sentAt = now;
        lastWasRead = read;
    }

    void sendTransaction(TimePoint now)
    {
        StoreTransact command;
        std::map<std::pair<std::string, std::string>, RowVersion> fences;
        drain(AdmissionStage::Ready, [&](const JobId &job) {
            if (command.writes.size() + rowsPerJob > batchRows) {
                return false;
            }
            const Item &item = works.at(job).items.front();
            if (item.submission) {
                appendInserts(command.writes, item.record);
            } else {
                const JobRows &rows = known.at(job);
                // Two fences on one row can't both hold; the second waits for the next transaction.
                if (item.fence
                    && fences.emplace(std::make_pair(item.fence->table, item.fence->key), item.fence->version).first->second != item.fence->version) {
                    return false;
                }
                appendUpdate(command.writes, rows, wantedRecord(rows.record, item));
            }
            return true;
        });
        for (const auto &[row, version] : fences) {
            command.writes.push_back(RowWrite{RowWrite::Kind::Check, row.first, row.second, version, {}});
        }
        sent(now, false);
        command.op = inFlight;
        outputs.emplace_back(std::move(command));
    }

    void sendRead(AdmissionStage stage, const char *table, TimePoint now)
    {
        StoreRead command;
        command.table = table;
        drain(stage, [&](const JobId &job) {
            if (command.keys.size() >= settings.maxRows) {
                return false;
            }
            command.keys.push_back(keyOf(job, table));
            return true;
        });
        readTable = table;
        sent(now, true);
        command.op = inFlight;
        outputs.emplace_back(std::move(command));
    }

    [[nodiscard]] std::string keyOf(const JobId &job, const std::string &table) const
    {
        return table == jobTable ? job.value() : queueKey(known.at(job).record.shard, job);
    }

    // ---- answers of the store

    void handle(const StoreReply &reply, TimePoint now)
    {
        inFlight = OpId();
        const std::vector<JobId> jobs = std::exchange(batch, {});
        for (const JobId &job : jobs) {
            works.at(job).inFlight = false;
        }
        if (lastWasRead) {
            onReadReply(jobs, reply, now);
        } else if (reply.status == StoreStatus::Ok) {
            onCommitted(jobs, RowIndex(reply.rows), now);
        } else if (reply.status == StoreStatus::Unknown || !onConflict(jobs, RowIndex(reply.rows), now)) {
            onLost(jobs, now);
        }
    }

    void onCommitted(const std::vector<JobId> &jobs, const RowIndex &rows, TimePoint now)
    {
        pause.reset();
        batchRows = settings.maxRows;
        for (const JobId &job : jobs) {
            const Item item = works.at(job).items.front();
            const JobRecord record = item.submission ? item.record : wantedRecord(known.at(job).record, item);
            remember(job, record, rows);
            if (item.submission) {
                accept(item, false, record);
            } else {
                outputs.emplace_back(JobRecorded{job, item.state});
            }
            finishFront(job, now);
        }
    }

    void remember(const JobId &job, const JobRecord &record, const RowIndex &rows)
    {
        const Row *jobRow = rows.find(jobTable, job.value());
        if (jobRow == nullptr) {
            known.erase(job);
            return;
        }
        const Row *queueRow = rows.find(queueTable, queueKey(record.shard, job));
        const auto before = known.find(job);
        std::optional<RowVersion> queue = before == known.end() ? std::nullopt : before->second.queue;
        if (queueRow != nullptr) {
            queue = queueRow->version;
        }
        known[job] = JobRows{record, jobRow->version, queue};
    }

    /// False if the answer lists none of the batch's rows, so that it says nothing.
    bool onConflict(const std::vector<JobId> &jobs, const RowIndex &rows, TimePoint now)
    {
        const auto isListed = [&](const JobId &job) {
            return isFenced(job, rows) || rows.find(jobTable, job.value()) != nullptr || rows.find(queueTable, frontQueueKey(job)) != nullptr;
        };
        if (std::none_of(jobs.begin(), jobs.end(), isListed)) {
            return false;
        }
        pause.reset();
        for (const JobId &job : jobs) {
            if (isFenced(job, rows)) {
                outputs.emplace_back(JobRecordRefused{job, works.at(job).items.front().state, std::nullopt, "the shard has another owner", true});
                finishFront(job, now);
            } else if (isListed(job)) {
                onRowConflict(job, rows, now);
            } else {
                queues.push(job, AdmissionStage::Ready, followUp(now));
            }
        }
        return true;
    }

    /// Whether the answer shows that the fence of the front item no longer holds.
    [[nodiscard]] bool isFenced(const JobId &job, const RowIndex &rows) const
    {
        const std::optional<RowFence> &fence = works.at(job).items.front().fence;
        const Row *row = fence ? rows.find(fence->table, fence->key) : nullptr;
        return row != nullptr && row->version != fence->version;
    }

    [[nodiscard]] std::string frontQueueKey(const JobId &job) const
    {
        const Item &item = works.at(job).items.front();
        return queueKey(item.submission ? item.record.shard : known.at(job).record.shard, job);
    }

    void onRowConflict(const JobId &job, const RowIndex &rows, TimePoint now)
    {
        const Item &item = works.at(job).items.front();
        const Row *jobRow = rows.find(jobTable, job.value());
        if (item.submission && jobRow != nullptr) {
            settleSubmission(job, *jobRow, now);
        } else if (item.submission) {
            // An index row without its job: the job must not run under an index row that it did not write.
            refuse(item, specConflict(), ExecutionStatus::NotRun, Duration(0));
            finishFront(job, now);
        } else if (jobRow != nullptr) {
            settleUpdate(job, *jobRow, now);
        } else {
            known.at(job).queue = rows.find(queueTable, frontQueueKey(job))->version;
            advance(job, followUp(now));
        }
    }

    void onLost(const std::vector<JobId> &jobs, TimePoint now)
    {
        notBefore = now + pause.next();
        // A transaction that the store never answers must not block the others for good, so smaller ones are tried.
        batchRows = std::max(rowsPerJob, batchRows / 2);
        for (const JobId &job : jobs) {
            Item &item = works.at(job).items.front();
            if (item.submission && !settings.readBackLostAnswers) {
                refuse(item, Error{ErrorKind::Unavailable, "the store did not answer", "submit the job again"}, ExecutionStatus::NotRun, settings.retryAfter);
                finishFront(job, now);
                continue;
            }
            item.lost = true;
            item.readFirst = true;
            if (!item.submission) {
                known.erase(job);
            }
            advance(job, followUp(now));
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
                queues.push(job, readTable == jobTable ? AdmissionStage::NeedRow : AdmissionStage::NeedQueueRow, followUp(now));
            }
        }
        if (!complete) {
            notBefore = now + pause.next();
        }
    }

    void onRowRead(const JobId &job, const Row &row, TimePoint now)
    {
        Item &item = works.at(job).items.front();
        if (readTable == queueTable) {
            known.at(job).queue = row.version;
            advance(job, followUp(now));
        } else if (!item.submission) {
            settleUpdate(job, row, now);
        } else if (row.version != RowVersion()) {
            settleSubmission(job, row, now);
        } else {
            // Absent, but the lost transaction may still arrive. Inserting again settles it: only one of the two can succeed.
            item.readFirst = false;
            advance(job, followUp(now));
        }
    }

    // ---- timeouts

    void expire(TimePoint now)
    {
        while (!deadlines.empty() && deadlines.front().at <= now) {
            const Deadline deadline = deadlines.front();
            deadlines.pop_front();
            const auto work = works.find(deadline.job);
            if (work != works.end()) {
                expireItem(deadline, work->second, now);
            }
        }
    }

    void expireItem(const Deadline &deadline, Work &work, TimePoint now)
    {
        const auto item =
            std::find_if(work.items.begin(), work.items.end(), [&](const Item &candidate) { return candidate.submission && candidate.op == deadline.op; });
        if (item == work.items.end()) {
            return;
        }
        refuseUnknown(*item, ErrorKind::OutcomeUnknown, "the store did not confirm the job in time");
        item->answered = true;
        const bool isFront = item == work.items.begin();
        if (item->lost || (isFront && work.inFlight)) {
            return;
        }
        if (!isFront) {
            work.items.erase(item);
            --submissions;
            --itemCount;
            return;
        }
        queues.remove(deadline.job);
        popFront(deadline.job);
        advance(deadline.job, now);
    }

    AdmissionSettings settings;
    NextOp nextOp;
    Backoff pause;
    std::size_t batchRows; ///< Rows of the next transaction; at most settings.maxRows, fewer after lost answers.
    std::unordered_map<JobId, Work> works; ///< Jobs with items; the front item is queued or in flight.
    std::unordered_map<JobId, JobRows> known;
    AdmissionQueues queues;
    std::size_t itemCount = 0;
    std::size_t submissions = 0; ///< Items that are submissions.
    std::deque<Deadline> deadlines; ///< In order of time, as all submissions have the same timeout.
    TimePoint notBefore{}; ///< Of the next operation.
    OpId inFlight; ///< 0: none. At most one operation at a time.
    TimePoint sentAt{};
    bool lastWasRead = false; ///< Kind of the operation in flight, or of the last one.
    std::string readTable; ///< Of the last read.
    std::vector<JobId> batch; ///< Jobs of the operation in flight.
    std::vector<AdmissionOutput> outputs;
};

Admission::Admission() = default;

Admission::~Admission() = default;

Result<std::unique_ptr<Admission>> Admission::create(const AdmissionSettings &settings, NextOp nextOp, TimePoint /*now*/)
{
    if (settings.maxRows < rowsPerJob) {
        return invalid("a transaction of admission needs room for two rows", "set maxRows to at least 2");
    }
    if (settings.self.isEmpty() || !nextOp) {
        return invalid("admission needs the daemon's id and a source of operation numbers", "pass both");
    }
    std::unique_ptr<Admission> admission(new Admission);
    admission->d = std::make_unique<Private>(settings, std::move(nextOp));
    return admission;
}

void Admission::submit(OpId op, const JobRecord &record, TimePoint now)
{
    Private::Item item;
    item.submission = true;
    item.op = op;
    item.record = record;
    if (record.spec.id.isEmpty() || record.shard.isEmpty()) {
        d->refuse(item, invalid("the job has no id or no shard", "give the job an id and a route with a pool"), ExecutionStatus::NotRun, Duration(0));
        return;
    }
    // A spec that changes by being stored could not be recognised when it is read back.
    const auto stored = JobRecord::fromJson(record.toJson());
    if (!stored || stored->spec != record.spec) {
        d->refuse(item, invalid("the job contains text that is not UTF-8", "encode the payload, for example as Base64"), ExecutionStatus::NotRun, Duration(0));
        return;
    }
    if (d->submissions >= d->settings.maxWaiting) {
        d->refuseUnknown(item, ErrorKind::LimitReached, "too many jobs wait to be stored");
        return;
    }
    ++d->submissions;
    d->deadlines.push_back({now + d->settings.admissionTimeout, record.spec.id, op});
    d->add(record.spec.id, std::move(item), now);
    d->step(now);
}

void Admission::record(const JobId &job, JobState state, const std::string &reason, TimePoint now, const std::optional<RowFence> &fence)
{
    const auto work = d->works.find(job);
    if (work != d->works.end() && !work->second.items.back().submission && work->second.items.back().state == state) {
        const std::optional<RowFence> &last = work->second.items.back().fence;
        if (last.has_value() == fence.has_value() && (!fence || last->version == fence->version)) {
            return; // The last recorded state is repeated; its answer is still to come.
        }
    }
    Private::Item item;
    item.state = state;
    item.reason = reason;
    item.fence = fence;
    d->add(job, std::move(item), now);
    d->step(now);
}

bool Admission::onStoreReply(const StoreReply &reply, TimePoint now)
{
    if (reply.op == OpId() || reply.op != d->inFlight) {
        return false;
    }
    d->handle(reply, now);
    d->step(now);
    return true;
}

void Admission::tick(TimePoint now)
{
    if (d->inFlight != OpId() && now - d->sentAt >= d->settings.operationTimeout) {
        d->handle(StoreReply{d->inFlight, StoreStatus::Unknown, {}}, now);
    }
    d->expire(now);
    d->step(now);
}

std::vector<AdmissionOutput> Admission::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

std::size_t Admission::pending() const
{
    return d->itemCount;
}

} // namespace KingCupLadder
