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

/// The key of the index row "queue/<shard>/<id>".
[[nodiscard]] std::string queueKey(const ShardId &shard, const JobId &job);

/// The last known rows of a job.
struct JobRows {
    JobRecord record;
    RowVersion job; ///< Version of the job row.
    std::optional<RowVersion> queue; ///< Version of the index row; empty if it was not read yet, 0 if it is absent.
};

/// Result of comparing a requested state with the stored record.
enum class Transition {
    Write,
    Done, ///< The store already has the state.
    Refuse,
};

/// Decides whether @p wanted, the complete record to be written, may replace @p stored.
[[nodiscard]] Transition transition(const JobRecord &stored, const JobRecord &wanted);

/// Describes for logs and operators why a transition was refused.
[[nodiscard]] std::string refusalReason(const JobRecord &stored);

/// Appends the inserts of the job row and the index row of a new job.
void appendInserts(std::vector<RowWrite> &writes, const JobRecord &record);
/// Appends the update of the job row and, for a final state, the removal of the index row.
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
