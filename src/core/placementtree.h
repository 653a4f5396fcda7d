// Internal to placement: a binary tree over the workers in id order. Each inner node has the component-wise maximum of the free
// room below it, so that a search passes over whole subtrees without room.
#pragma once

#include "ids.h"
#include "resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

/// The component-wise larger vector.
[[nodiscard]] Resources componentMax(const Resources &a, const Resources &b);

/// A worker of the index.
struct IndexedWorker {
    bool present = false;
    WorkerId worker;
    Resources capacity;
    Resources free;
    double overuse = 0.0; ///< Part of the capacity observed above what is committed.
    std::uint32_t leaf = 0; ///< Position in the tree.
    std::uint32_t cell = 0; ///< Cell of the grid, and position in it.
    std::uint32_t place = 0;
};

class PlacementTree
{
public:
    /// Workers were added or removed; the tree is built anew by the next refresh().
    void invalidate();
    void refresh(std::vector<IndexedWorker> &nodes);
    /// The free room of one worker has changed.
    void change(const std::vector<IndexedWorker> &nodes, std::uint32_t number);
    /// False if no worker can have room.
    [[nodiscard]] bool mayFit(const Resources &demand) const;
    /// The first worker by id with room; with @p onlyInUse, among those that have something committed.
    [[nodiscard]] std::optional<std::uint32_t>
    first(const std::vector<IndexedWorker> &nodes, const Resources &demand, const std::vector<std::uint32_t> &avoid, bool onlyInUse) const;

private:
    struct Query;
    std::optional<std::uint32_t> firstBelow(std::size_t at, const Query &query) const;

    bool m_valid = false;
    std::size_t m_leaves = 1; ///< A power of two; leaf i is m_maxima[m_leaves + i].
    std::vector<Resources> m_maxima;
    std::vector<std::uint32_t> m_numbers; ///< By leaf.
};

} // namespace KingCupLadder
