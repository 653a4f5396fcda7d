// Internal to placement: the workers in cells by their free share of processors and memory. A search ranks the cells that are
// in use and looks into the best ones only.
#pragma once

#include "placementtree.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

struct PlacementQuery {
    const Resources *demand;
    const std::vector<std::uint32_t> *avoid;
    bool dotProduct;
    bool packTightly;
    Resources largest; ///< Component-wise largest capacity of the index.
};

class PlacementGrid
{
public:
    PlacementGrid();

    void insert(std::vector<IndexedWorker> &nodes, std::uint32_t number);
    void remove(std::vector<IndexedWorker> &nodes, std::uint32_t number);
    /// The best ranked worker with room. Empty if none was found within a bounded number of looks.
    [[nodiscard]] std::optional<std::uint32_t> best(const std::vector<IndexedWorker> &nodes, const PlacementQuery &query) const;

private:
    /// Levels of one axis. Level i starts at the free share (i / levels)^2: scarce room is told apart more finely, so that a full
    /// shard does not hold all its workers in cells that small demands have to look into.
    static constexpr std::uint32_t levels = 16;
    static constexpr std::uint32_t cellsPerLayer = levels * levels;
    /// Layers keep apart workers with free accelerators, with free slots, and in use at all.
    static constexpr std::uint32_t acceleratorBit = 1;
    static constexpr std::uint32_t slotBit = 2;
    static constexpr std::uint32_t inUseBit = 4;
    static constexpr std::uint32_t layers = 8;

    struct Candidate {
        std::uint32_t cell;
        double score;
    };
    struct Search;

    static std::uint32_t levelOf(double share);
    static std::uint32_t layerOf(const IndexedWorker &node);
    void collectLayer(const Search &search, std::uint32_t layer) const;
    std::optional<std::uint32_t> bestOfLayers(Search &search, std::uint32_t mask, std::uint32_t value) const;
    std::optional<std::uint32_t> bestOfCell(Search &search, std::uint32_t cell) const;

    std::array<std::vector<std::uint32_t>, std::size_t{layers} * cellsPerLayer> m_cells; ///< Numbers of workers.
    std::array<std::uint16_t, std::size_t{layers} * levels> m_usedCells{}; ///< Per row of cells with the same processor level: bits by memory level.
    std::array<double, levels> m_middles{}; ///< Free share in the middle of each level.
    mutable std::vector<Candidate> m_candidates; ///< Of the running search; kept for its memory.
};

} // namespace KingCupLadder
