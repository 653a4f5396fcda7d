// Merging of ranges.
#include "occurrenceset.h"

#include <algorithm>
#include <iterator>

namespace KingCupLadder {

void OccurrenceSet::insert(int first, int last)
{
    auto next = m_ranges.upper_bound(first);
    if (next != m_ranges.begin() && std::prev(next)->second >= first - 1) {
        --next;
        first = next->first;
    }
    while (next != m_ranges.end() && next->first <= last + 1) {
        last = std::max(last, next->second);
        m_size -= next->second - next->first + 1;
        next = m_ranges.erase(next);
    }
    m_ranges.emplace(first, last);
    m_size += last - first + 1;
}

bool OccurrenceSet::contains(int occurrence) const
{
    return firstMissingFrom(occurrence) != occurrence;
}

int OccurrenceSet::firstMissingFrom(int occurrence) const
{
    const auto next = m_ranges.upper_bound(occurrence);
    const bool isContained = next != m_ranges.begin() && std::prev(next)->second >= occurrence;
    return isContained ? std::prev(next)->second + 1 : occurrence;
}

std::vector<std::pair<int, int>> OccurrenceSet::ranges() const
{
    return {m_ranges.begin(), m_ranges.end()};
}

} // namespace KingCupLadder
