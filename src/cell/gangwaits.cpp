// Sums of the waits of a gang.
#include "gangwaits.h"

namespace KingCupLadder {

const char *toString(GangWaitCause cause)
{
    switch (cause) {
    case GangWaitCause::FirstAnswer:
        return "for its first answer";
    case GangWaitCause::Room:
        return "for room";
    case GangWaitCause::ReservedRoom:
        return "for room that is reserved";
    case GangWaitCause::Tickets:
        return "for tickets";
    case GangWaitCause::Other:
        break;
    }
    return "otherwise";
}

void GangWaits::waitFor(GangWaitCause cause, TimePoint now)
{
    if (m_since != TimePoint()) {
        m_ended[static_cast<std::size_t>(m_cause)] += now - m_since;
    }
    m_cause = cause;
    m_since = now;
}

void GangWaits::clear()
{
    *this = GangWaits();
}

Duration GangWaits::total(GangWaitCause cause, TimePoint now) const
{
    const bool isPresent = m_since != TimePoint() && cause == m_cause;
    return m_ended[static_cast<std::size_t>(cause)] + (isPresent ? now - m_since : Duration(0));
}

std::string GangWaits::describe(TimePoint now) const
{
    std::string text;
    for (std::size_t i = 0; i < gangWaitCauseCount; ++i) {
        const auto cause = static_cast<GangWaitCause>(i);
        const Duration waited = total(cause, now);
        if (waited > Duration(0)) {
            text += (text.empty() ? "waited " : ", ") + std::to_string(waited.count()) + " ms " + toString(cause);
        }
    }
    return text.empty() ? "without a wait" : text;
}

} // namespace KingCupLadder
