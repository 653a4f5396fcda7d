// Segment tree of the free resources.
#include "placementtree.h"

#include <algorithm>

namespace KingCupLadder {

Resources componentMax(const Resources &a, const Resources &b)
{
    return Resources{std::max(a.cpu, b.cpu), std::max(a.memory, b.memory), std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

namespace {

/// Value of an unused leaf, in which not even an empty demand fits.
Resources unusedLeafValue()
{
    return Resources{MilliCores(-1), MebiBytes(-1), Accelerators(-1), Slots(-1)};
}

} // namespace

struct PlacementTree::Query {
    const std::vector<IndexedWorker> *indexedWorkers;
    const Resources *demand;
    const std::vector<std::uint32_t> *avoid;
    bool onlyInUse;

    bool accepts(std::uint32_t number) const
    {
        const IndexedWorker &indexedWorker = (*indexedWorkers)[number];
        if (onlyInUse && indexedWorker.free == indexedWorker.capacity) {
            return false;
        }
        return std::find(avoid->begin(), avoid->end(), number) == avoid->end();
    }
};

void PlacementTree::invalidate()
{
    m_valid = false;
}

void PlacementTree::refresh(std::vector<IndexedWorker> &indexedWorkers)
{
    if (m_valid) {
        return;
    }
    m_numbers.clear();
    for (std::uint32_t number = 0; number < indexedWorkers.size(); ++number) {
        if (indexedWorkers[number].present) {
            m_numbers.push_back(number);
        }
    }
    std::sort(m_numbers.begin(), m_numbers.end(), [&indexedWorkers](std::uint32_t a, std::uint32_t b) {
        return indexedWorkers[a].worker < indexedWorkers[b].worker;
    });
    m_leafCount = 1;
    while (m_leafCount < m_numbers.size()) {
        m_leafCount *= 2;
    }
    m_maxima.assign(m_leafCount * 2, unusedLeafValue());
    for (std::uint32_t leaf = 0; leaf < m_numbers.size(); ++leaf) {
        indexedWorkers[m_numbers[leaf]].leaf = leaf;
        m_maxima[m_leafCount + leaf] = indexedWorkers[m_numbers[leaf]].free;
    }
    for (std::size_t node = m_leafCount - 1; node > 0; --node) {
        m_maxima[node] = componentMax(m_maxima[2 * node], m_maxima[2 * node + 1]);
    }
    m_valid = true;
}

void PlacementTree::updateLeaf(const std::vector<IndexedWorker> &indexedWorkers, std::uint32_t number)
{
    if (!m_valid) {
        return;
    }
    std::size_t node = m_leafCount + indexedWorkers[number].leaf;
    m_maxima[node] = indexedWorkers[number].free;
    while (node > 1) {
        node /= 2;
        const Resources larger = componentMax(m_maxima[2 * node], m_maxima[2 * node + 1]);
        if (larger == m_maxima[node]) {
            return;
        }
        m_maxima[node] = larger;
    }
}

bool PlacementTree::mayFit(const Resources &demand) const
{
    return demand.fitsIn(m_maxima[1]);
}

std::optional<std::uint32_t>
PlacementTree::first(const std::vector<IndexedWorker> &indexedWorkers, const Resources &demand, const std::vector<std::uint32_t> &avoid, bool onlyInUse) const
{
    return firstInSubtree(1, Query{&indexedWorkers, &demand, &avoid, onlyInUse});
}

// The recursion depth is the depth of the tree: 11 levels for 2,000 workers.
std::optional<std::uint32_t> PlacementTree::firstInSubtree(std::size_t node, const Query &query) const // NOLINT(misc-no-recursion)
{
    if (!query.demand->fitsIn(m_maxima[node])) {
        return std::nullopt;
    }
    if (node >= m_leafCount) {
        const std::uint32_t number = m_numbers[node - m_leafCount];
        return query.accepts(number) ? std::optional<std::uint32_t>(number) : std::nullopt;
    }
    if (const auto left = firstInSubtree(2 * node, query)) {
        return left;
    }
    return firstInSubtree(2 * node + 1, query);
}

} // namespace KingCupLadder
