// Rows of jobs in the store, and the rules by which one state of a job may follow another. Internal to admission.
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

/// Key of the index row "queue/<shard>/<id>".
[[nodiscard]] std::string queueKey(const ShardId &shard, const JobId &job);

/// The rows of a job as last seen.
struct JobRows {
    JobRecord record;
    RowVersion job;
    std::optional<RowVersion> queue; ///< Empty: not read yet; 0: absent.
};

/// What becomes of a wanted state, given the stored record.
enum class Transition {
    Write,
    Done, ///< The store has it already.
    Refuse,
};

/// @p wanted is the record as it would be written.
[[nodiscard]] Transition transition(const JobRecord &stored, const JobRecord &wanted);

/// Why a transition is refused, for logs and operators.
[[nodiscard]] std::string refusalReason(const JobRecord &stored);

/// The two inserts of a new job.
void appendInserts(std::vector<RowWrite> &writes, const JobRecord &record);
/// The update of the job row and, for a final state, the removal of the index row.
void appendUpdate(std::vector<RowWrite> &writes, const JobRows &rows, const JobRecord &wanted);

/// Rows of one answer by table and key. The rows must outlive the index.
class RowIndex
{
public:
    explicit RowIndex(const std::vector<Row> &rows);

    /// Null if the answer does not list the row.
    [[nodiscard]] const Row *find(const std::string &table, const std::string &key) const;

private:
    std::map<std::pair<std::string, std::string>, const Row *> m_rows;
};

} // namespace KingCupLadder::AdmissionRows
