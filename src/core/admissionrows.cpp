// The job table ("jobs"), the queue table ("queue") and the rules for replacing a stored job state.
#include "admissionrows.h"

namespace KingCupLadder::AdmissionRows {

const char *const jobTable = "jobs";
const char *const queueTable = "queue";

std::string queueRowKey(const ShardId &shard, const JobId &job)
{
    return shard.value() + "/" + job.value();
}

namespace {

/// Whether the state is never replaced. Parked is final but not permanent: the job may still be cancelled, or reported as ended by a
/// worker that was unreachable.
bool isPermanent(JobState state)
{
    return isFinal(state) && state != JobState::Parked;
}

} // namespace

TransitionDecision decideTransition(const JobRecord &stored, const JobRecord &wanted)
{
    if (stored.state == wanted.state) {
        // A start counts as recorded only if this run of this daemon wrote it. Otherwise two owners could each believe that
        // they recorded the start, and a start-once job would start twice.
        const bool startedByOther = wanted.state == JobState::Started && stored.reason != wanted.reason;
        return startedByOther ? TransitionDecision::Refuse : TransitionDecision::Done;
    }
    if (isPermanent(stored.state) || wanted.state == JobState::Queued) {
        return TransitionDecision::Refuse;
    }
    if (stored.state == JobState::Parked && wanted.state == JobState::Started) {
        return TransitionDecision::Refuse;
    }
    return TransitionDecision::Write;
}

std::string refusalReason(const JobRecord &stored)
{
    if (stored.state == JobState::Started) {
        return "the start is recorded by another owner: " + stored.reason;
    }
    return std::string("the job is ") + toString(stored.state);
}

void appendInserts(std::vector<RowWrite> &writes, const JobRecord &record)
{
    writes.push_back({RowWrite::Kind::Insert, jobTable, record.spec.id.value(), {}, record.toJson()});
    writes.push_back({RowWrite::Kind::Insert, queueTable, queueRowKey(record.shard, record.spec.id), {}, record.spec.team.value()});
}

void appendUpdate(std::vector<RowWrite> &writes, const JobRows &rows, const JobRecord &wanted)
{
    writes.push_back({RowWrite::Kind::Update, jobTable, wanted.spec.id.value(), rows.jobRowVersion, wanted.toJson()});
    if (isFinal(wanted.state) && rows.queueRowVersion.value_or(RowVersion()) != RowVersion()) {
        writes.push_back({RowWrite::Kind::Delete, queueTable, queueRowKey(wanted.shard, wanted.spec.id), *rows.queueRowVersion, {}});
    }
}

RowIndex::RowIndex(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        m_rows.emplace(std::pair(row.table, row.key), &row);
    }
}

const Row *RowIndex::find(const std::string &table, const std::string &key) const
{
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() ? nullptr : found->second;
}

} // namespace KingCupLadder::AdmissionRows
