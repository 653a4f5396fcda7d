// Internal to PlacementIndex: a segment tree over the workers in id order. Each inner node holds the component-wise maximum of the
// free resources below it, so a search skips subtrees in which a demand can't fit.
#pragma once

#include "ids.h"
#include "resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

/// The component-wise maximum.
[[nodiscard]] Resources componentMax(const Resources &a, const Resources &b);

/// A worker in the placement index.
struct IndexedWorker {
    bool present = false;
    WorkerId worker;
    Resources capacity;
    Resources free;
    double overuse = 0.0; ///< Fraction of the capacity by which the observed usage exceeds the commitments.
    std::uint32_t leaf = 0; ///< Position in the tree.
    std::uint32_t bucket = 0; ///< Bucket of the grid.
    std::uint32_t bucketPosition = 0; ///< Position in the bucket.
};

class PlacementTree
{
public:
    /// Call after workers were added or removed; the next refresh() rebuilds the tree.
    void invalidate();
    void refresh(std::vector<IndexedWorker> &indexedWorkers);
    /// Call after the free resources of one worker have changed.
    void updateLeaf(const std::vector<IndexedWorker> &indexedWorkers, std::uint32_t number);
    /// Returns false if the demand certainly fits into no worker.
    [[nodiscard]] bool mayFit(const Resources &demand) const;
    /// The first worker by id in which the demand fits; with @p onlyInUse, among workers with commitments.
    [[nodiscard]] std::optional<std::uint32_t>
    first(const std::vector<IndexedWorker> &indexedWorkers, const Resources &demand, const std::vector<std::uint32_t> &avoid, bool onlyInUse) const;

private:
    struct Query;
    std::optional<std::uint32_t> firstInSubtree(std::size_t node, const Query &query) const;

    bool m_valid = false;
    std::size_t m_leafCount = 1; ///< A power of two; leaf i is m_maxima[m_leafCount + i].
    std::vector<Resources> m_maxima;
    std::vector<std::uint32_t> m_numbers; ///< Worker number of each leaf.
};

} // namespace KingCupLadder
