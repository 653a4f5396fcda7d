// Confirmations by worker, bounded in age and number.
#include "acknowledgementguard.h"

namespace KingCupLadder {

namespace {

// Shorter than a restart of a worker. Two holds of a worker that answers follow each other within about 100 ms.
constexpr Duration maxConfirmationAge{500};
constexpr std::size_t maxConfirmations = 2000; // Above this number, outdated entries of workers that have left are removed.

} // namespace

HoldOrder AcknowledgementGuard::guard(HoldOrder order, TimePoint now) const
{
    const auto found = m_confirmations.find(order.worker);
    const bool isConfirmed = found != m_confirmations.end() && found->second.incarnation == order.incarnation && now - found->second.at <= maxConfirmationAge;
    if (!isConfirmed) {
        order.acknowledged = EndNumber();
    }
    return order;
}

void AcknowledgementGuard::confirm(const WorkerId &worker, WorkerIncarnation incarnation, TimePoint now)
{
    if (m_confirmations.size() >= maxConfirmations) {
        for (auto entry = m_confirmations.begin(); entry != m_confirmations.end();) {
            entry = now - entry->second.at > maxConfirmationAge ? m_confirmations.erase(entry) : std::next(entry);
        }
    }
    m_confirmations[worker] = Confirmation{incarnation, now};
}

void AcknowledgementGuard::revoke(const WorkerId &worker)
{
    m_confirmations.erase(worker);
}

} // namespace KingCupLadder
