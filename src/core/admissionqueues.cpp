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
    const auto place = m_places.find(entry.job);
    return place == m_places.end() || place->second.ticket != entry.ticket;
}

void AdmissionQueues::push(const JobId &job, AdmissionStage stage, TimePoint since)
{
    const std::uint64_t ticket = ++m_lastTicket;
    m_places[job] = Place{stage, ticket};
    queue(stage).entries.push_back({job, ticket});
    ++queue(stage).valid;
    m_pendingSince = m_pendingSince ? std::min(*m_pendingSince, since) : since;
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
        forget(JobId(queue(stage).entries.front().job));
        queue(stage).entries.pop_front();
    }
}

void AdmissionQueues::remove(const JobId &job)
{
    const auto place = m_places.find(job);
    if (place != m_places.end()) {
        const AdmissionStage stage = place->second.stage;
        forget(job);
        purge(queue(stage));
    }
}

void AdmissionQueues::forget(const JobId &job)
{
    const auto place = m_places.find(job);
    --queue(place->second.stage).valid;
    m_places.erase(place);
    if (m_places.empty()) {
        m_pendingSince.reset();
    }
}

void AdmissionQueues::purge(Queue &queue)
{
    if (queue.entries.size() <= queue.valid * 2) {
        return;
    }
    const auto stale = [this](const Entry &entry) { return isStale(entry); };
    queue.entries.erase(std::remove_if(queue.entries.begin(), queue.entries.end(), stale), queue.entries.end());
}

std::size_t AdmissionQueues::size(AdmissionStage stage) const
{
    return m_queues.at(static_cast<std::size_t>(stage)).valid;
}

std::optional<TimePoint> AdmissionQueues::pendingSince() const
{
    return m_pendingSince;
}

} // namespace KingCupLadder
