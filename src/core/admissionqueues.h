// FIFO queues of jobs that wait for their next store operation. Internal to admission.
#pragma once

#include "ids.h"
#include "units.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace KingCupLadder {

/// The store operation that a job waits for.
enum class AdmissionStage {
    NeedRow, ///< A read of its job row.
    NeedQueueRow, ///< A read of its queue row.
    Ready, ///< A transaction.
};

class AdmissionQueues
{
public:
    /// Appends the job to the queue of the stage. The job must not be in any queue. @p waitingSince: when the job began to wait for a batch.
    void push(const JobId &job, AdmissionStage stage, TimePoint waitingSince);
    /// The first job of the stage; null if there is none.
    [[nodiscard]] const JobId *front(AdmissionStage stage);
    /// Removes the job that front() returns.
    void popFront(AdmissionStage stage);
    /// Removes a job from its queue, if it is in one. Amortized O(1).
    void remove(const JobId &job);

    [[nodiscard]] std::size_t size(AdmissionStage stage) const;
    /// The earliest @p waitingSince of the push() calls since the queues were last empty; empty if nothing is queued. The job of that
    /// call may have been removed already, in which case the remaining jobs are sent before they have waited for the full interval.
    [[nodiscard]] std::optional<TimePoint> pendingSince() const;

private:
    struct Entry {
        JobId job;
        std::uint64_t ticket = 0;
    };
    /// Identifies the valid entry of a queued job.
    struct Location {
        AdmissionStage stage = AdmissionStage::Ready;
        std::uint64_t ticket = 0;
    };
    struct Queue {
        std::deque<Entry> entries; ///< An entry whose ticket differs from that in m_locations is stale.
        std::size_t validCount = 0; ///< Entries that are not stale.
    };
    [[nodiscard]] Queue &queue(AdmissionStage stage);
    [[nodiscard]] bool isStale(const Entry &entry) const;
    /// Removes the location of a queued job; the entry of the job becomes stale.
    void removeLocation(const JobId &job);
    void purgeIfMostlyStale(Queue &queue);

    std::array<Queue, 3> m_queues;
    std::unordered_map<JobId, Location> m_locations; ///< The stage and ticket of every queued job.
    std::uint64_t m_lastTicket = 0;
    std::optional<TimePoint> m_pendingSince; ///< Has a value if and only if m_locations is not empty.
};

} // namespace KingCupLadder
