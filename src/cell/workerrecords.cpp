// What a leader stores about its workers for the next leader, and what the runs of earlier leaders on workers that it has not read may be.
#include "workertable.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration minRecordedSilence{300}; // A shorter silence is not recorded, since a hold that one connection lost is repeated after 250 ms.
constexpr std::size_t maxRecordedJobs = 2000; // Keeps the row below the store's 64 KiB; further closed workers are recorded as if any job could run there.

} // namespace

void mergeWorkerRecords(const std::vector<WorkerRecord> &records, std::map<WorkerId, WorkerRecord> &merged)
{
    for (const WorkerRecord &record : records) {
        const auto [entry, isNew] = merged.try_emplace(record.id, record);
        if (!isNew) {
            entry->second.isClosed = entry->second.isClosed && record.isClosed;
            entry->second.jobs.insert(entry->second.jobs.end(), record.jobs.begin(), record.jobs.end());
        }
    }
}

void WorkerTable::addPrevious(const std::vector<WorkerRecord> &records, TimePoint leasesExpiredBy)
{
    for (const WorkerRecord &record : records) {
        Worker &worker = findOrAdd(record.id);
        if (worker.info.id.isEmpty()) {
            worker.info.id = record.id;
        }
        worker.idStored = false;
        worker.recordedAsClosed = record.isClosed;
        worker.recordedJobs.reset();
        if (record.isClosed) {
            worker.recordedJobs = std::set<JobId>(record.jobs.begin(), record.jobs.end());
            worker.previousJobs = worker.recordedJobs;
        }
        if (!worker.hasAnswered()) {
            worker.earlierRunsOverBy = leasesExpiredBy;
            worker.leases.setExpiryWithoutAnswer(leasesExpiredBy);
        }
    }
}

bool WorkerTable::areRecordsOutdated(TimePoint now) const
{
    return m_forgotWorker || std::any_of(m_workers.begin(), m_workers.end(), [now](const auto &entry) {
               const Worker &worker = entry.second;
               if (worker.recordedJobs) {
                   const std::set<JobId> jobs = knownJobs(worker);
                   if (!std::includes(worker.recordedJobs->begin(), worker.recordedJobs->end(), jobs.begin(), jobs.end())) {
                       return true;
                   }
               }
               if (isClosed(worker, now)) {
                   return !worker.recordedAsClosed;
               }
               return worker.registered && !worker.idStored && !isKnownFromRecord(worker);
           });
}

bool WorkerTable::isClosed(const Worker &worker, TimePoint now)
{
    const bool isSilent = worker.unresponsiveSince != TimePoint() && now - worker.unresponsiveSince >= minRecordedSilence;
    return worker.listsRead && (worker.info.draining || isSilent);
}

std::set<JobId> WorkerTable::knownJobs(const Worker &worker)
{
    std::set<JobId> jobs;
    for (const auto &[key, run] : worker.runs) {
        jobs.insert(key.first.step.job);
    }
    for (const UnacknowledgedEnd &end : worker.ends) {
        jobs.insert(end.job);
    }
    return jobs;
}

bool WorkerTable::isKnownFromRecord(const Worker &worker)
{
    return !worker.listsRead && worker.previousJobs.has_value();
}

std::vector<WorkerRecord> WorkerTable::makeRecords(TimePoint now)
{
    std::vector<WorkerRecord> records;
    records.reserve(m_workers.size());
    std::size_t recordedJobs = 0;
    for (auto &[id, worker] : m_workers) {
        if (worker.replaced) {
            continue;
        }
        WorkerRecord record;
        record.id = id;
        worker.recordedAsClosed = isClosed(worker, now) || isKnownFromRecord(worker);
        worker.recordedJobs.reset();
        if (worker.recordedAsClosed) {
            std::set<JobId> jobs = knownJobs(worker);
            if (isKnownFromRecord(worker)) {
                jobs.insert(worker.previousJobs->begin(), worker.previousJobs->end());
            }
            record.isClosed = recordedJobs + jobs.size() <= maxRecordedJobs;
            if (record.isClosed) {
                recordedJobs += jobs.size();
                record.jobs.assign(jobs.begin(), jobs.end());
                worker.recordedJobs = std::move(jobs);
            }
        }
        // The write may take effect even if its answer is lost, so from now on the worker may be recorded as closed.
        worker.idStored = worker.idStored && !record.isClosed;
        records.push_back(std::move(record));
    }
    m_forgotWorker = false;
    return records;
}

void WorkerTable::onRecordsStored(const std::vector<WorkerRecord> &records)
{
    for (const WorkerRecord &record : records) {
        Worker *worker = find(record.id);
        if (worker != nullptr && !record.isClosed && !worker->recordedAsClosed) {
            worker->idStored = true;
        }
    }
}

Resources WorkerTable::unreportedCapacity(TimePoint now) const
{
    Resources largest;
    for (const auto &[id, worker] : m_workers) {
        largest.cpu = std::max(largest.cpu, worker.info.capacity.cpu);
        largest.memory = std::max(largest.memory, worker.info.capacity.memory);
        largest.accelerators = std::max(largest.accelerators, worker.info.capacity.accelerators);
    }
    Resources sum;
    for (const auto &[id, worker] : m_workers) {
        if (isAwaited(worker, now)) {
            sum += worker.info.capacity.isZero() ? largest : worker.info.capacity;
        }
    }
    return sum;
}

bool WorkerTable::isAwaited(const Worker &worker, TimePoint now)
{
    return !worker.hasAnswered() && !worker.replaced && worker.earlierRunsOverBy && now < *worker.earlierRunsOverBy;
}

bool WorkerTable::mayHaveUnreportedRuns(const Worker &worker, TimePoint now)
{
    const bool mayHaveUnlistedEnds = worker.mayHaveUnreadEnds && !worker.listsRead && !worker.replaced && !worker.leases.haveExpired(now);
    return isAwaited(worker, now) || mayHaveUnlistedEnds;
}

std::optional<std::set<JobId>> WorkerTable::jobsWithUnreportedRuns(TimePoint now) const
{
    std::set<JobId> jobs;
    for (const auto &[id, worker] : m_workers) {
        if (!mayHaveUnreportedRuns(worker, now)) {
            continue;
        }
        if (!worker.previousJobs) {
            return std::nullopt;
        }
        jobs.insert(worker.previousJobs->begin(), worker.previousJobs->end());
    }
    return jobs;
}

} // namespace KingCupLadder
