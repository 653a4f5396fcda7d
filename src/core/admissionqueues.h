// Jobs of admission in the order in which they became ready for their next store operation. Internal to admission.
#pragma once

#include "ids.h"
#include "units.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace KingCupLadder {

/// What a job waits for.
enum class AdmissionStage {
    NeedRow, ///< Its row has to be read.
    NeedQueueRow, ///< Its index row has to be read.
    Ready, ///< For a transaction.
};

class AdmissionQueues
{
public:
    /// Queues a job that is in no queue. @p since: when its wait for a batch began.
    void push(const JobId &job, AdmissionStage stage, TimePoint since);
    /// The next job of the stage; null if there is none.
    [[nodiscard]] const JobId *front(AdmissionStage stage);
    /// Takes the job of front() out.
    void popFront(AdmissionStage stage);
    /// Takes a job out of whatever queue it is in. Amortized O(1).
    void remove(const JobId &job);

    [[nodiscard]] std::size_t size(AdmissionStage stage) const;
    /// When the oldest wait began; empty if nothing is queued.
    [[nodiscard]] std::optional<TimePoint> pendingSince() const;

private:
    struct Entry {
        JobId job;
        std::uint64_t ticket = 0;
    };
    struct Place {
        AdmissionStage stage = AdmissionStage::Ready;
        std::uint64_t ticket = 0;
    };
    struct Queue {
        std::deque<Entry> entries; ///< Entries whose ticket differs from the job's place are stale.
        std::size_t valid = 0;
    };
    [[nodiscard]] Queue &queue(AdmissionStage stage);
    [[nodiscard]] bool isStale(const Entry &entry) const;
    void forget(const JobId &job);
    void purge(Queue &queue);

    std::array<Queue, 3> m_queues;
    std::unordered_map<JobId, Place> m_places; ///< Every queued job.
    std::uint64_t m_lastTicket = 0;
    std::optional<TimePoint> m_pendingSince; ///< Empty exactly if m_places is.
};

} // namespace KingCupLadder
