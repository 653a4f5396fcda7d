// Queues with lazy removal: remove() leaves a stale entry, and a queue is purged when more than half of its entries are stale.
#include "admissionqueues.h"

#include <algorithm>

namespace KingCupLadder {

AdmissionQueues::Queue &AdmissionQueues::queue(AdmissionStage stage)
{
    return m_queues.at(static_cast<std::size_t>(stage));
}

bool AdmissionQueues::isStale(const Entry &entry) const
{
    const auto location = m_locations.find(entry.job);
    return location == m_locations.end() || location->second.ticket != entry.ticket;
}

void AdmissionQueues::push(const JobId &job, AdmissionStage stage, TimePoint waitingSince)
{
    const std::uint64_t ticket = ++m_lastTicket;
    m_locations[job] = Location{stage, ticket};
    queue(stage).entries.push_back({job, ticket});
    ++queue(stage).validCount;
    m_pendingSince = m_pendingSince ? std::min(*m_pendingSince, waitingSince) : waitingSince;
}

const JobId *AdmissionQueues::front(AdmissionStage stage)
{
    std::deque<Entry> &entries = queue(stage).entries;
    while (!entries.empty() && isStale(entries.front())) {
        entries.pop_front();
    }
    return entries.empty() ? nullptr : &entries.front().job;
}

void AdmissionQueues::popFront(AdmissionStage stage)
{
    if (front(stage) != nullptr) {
        removeLocation(JobId(queue(stage).entries.front().job));
        queue(stage).entries.pop_front();
    }
}

void AdmissionQueues::remove(const JobId &job)
{
    const auto location = m_locations.find(job);
    if (location != m_locations.end()) {
        const AdmissionStage stage = location->second.stage;
        removeLocation(job);
        purgeIfMostlyStale(queue(stage));
    }
}

void AdmissionQueues::removeLocation(const JobId &job)
{
    const auto location = m_locations.find(job);
    --queue(location->second.stage).validCount;
    m_locations.erase(location);
    if (m_locations.empty()) {
        m_pendingSince.reset();
    }
}

void AdmissionQueues::purgeIfMostlyStale(Queue &queue)
{
    if (queue.entries.size() <= queue.validCount * 2) {
        return;
    }
    const auto stale = [this](const Entry &entry) { return isStale(entry); };
    queue.entries.erase(std::remove_if(queue.entries.begin(), queue.entries.end(), stale), queue.entries.end());
}

std::size_t AdmissionQueues::size(AdmissionStage stage) const
{
    return m_queues.at(static_cast<std::size_t>(stage)).validCount;
}

std::optional<TimePoint> AdmissionQueues::pendingSince() const
{
    return m_pendingSince;
}

} // namespace KingCupLadder
