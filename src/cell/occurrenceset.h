// A set of occurrences of a recurring job, kept as ranges: the occurrences of a job end nearly in order.
#pragma once

#include <map>
#include <utility>
#include <vector>

namespace KingCupLadder {

class OccurrenceSet
{
public:
    /// Adds all occurrences from @p first to @p last.
    void insert(int first, int last);
    [[nodiscard]] bool contains(int occurrence) const;
    /// Returns the first occurrence from @p occurrence on that is not in the set.
    [[nodiscard]] int firstMissingFrom(int occurrence) const;
    [[nodiscard]] int size() const
    {
        return m_size;
    }
    /// Returns the first and the last occurrence of each range, in order.
    [[nodiscard]] std::vector<std::pair<int, int>> ranges() const;

private:
    std::map<int, int> m_ranges; ///< Last occurrence of each range by its first one. Ranges neither overlap nor touch each other.
    int m_size = 0;
};

} // namespace KingCupLadder
