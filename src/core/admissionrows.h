// Store rows of jobs and the allowed state transitions of jobs. Internal to admission.
#pragma once

#include "job.h"
#include "messages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder::AdmissionRows {

extern const char *const jobTable;
extern const char *const queueTable;

/// The key of the queue row "queue/<shard>/<id>". The queue rows of a shard list its unfinished jobs.
[[nodiscard]] std::string queueRowKey(const ShardId &shard, const JobId &job);

/// The last known rows of a job.
struct JobRows {
    JobRecord record;
    RowVersion jobRowVersion;
    std::optional<RowVersion> queueRowVersion; ///< Empty if the queue row was not read yet, 0 if the queue row is absent.
};

/// Whether a requested state change has to be written.
enum class TransitionDecision {
    Write, ///< The stored record has to be replaced.
    Done, ///< The store already has the state.
    Refuse, ///< The stored record must not be replaced.
};

/// Decides whether @p wanted, the complete record to be written, may replace @p stored.
[[nodiscard]] TransitionDecision decideTransition(const JobRecord &stored, const JobRecord &wanted);

/// Describes for logs and operators why a transition was refused.
[[nodiscard]] std::string refusalReason(const JobRecord &stored);

/// Appends the inserts of the job row and the queue row of a new job.
void appendInserts(std::vector<RowWrite> &writes, const JobRecord &record);
/// Appends the update of the job row and, for a final state, the removal of the queue row.
void appendUpdate(std::vector<RowWrite> &writes, const JobRows &rows, const JobRecord &wanted);

/// Looks up the rows of a store reply by table and key. The rows must outlive the index.
class RowIndex
{
public:
    explicit RowIndex(const std::vector<Row> &rows);

    /// Null if the reply does not contain the row.
    [[nodiscard]] const Row *find(const std::string &table, const std::string &key) const;

private:
    std::map<std::pair<std::string, std::string>, const Row *> m_rows;
};

} // namespace KingCupLadder::AdmissionRows
