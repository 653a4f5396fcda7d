// Internal to PlacementIndex: a grid of cells (buckets) that hold the workers by their free fractions of CPU and memory. A search
// ranks the non-empty cells and examines the workers of the best ones only.
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

    void insert(std::vector<IndexedWorker> &indexedWorkers, std::uint32_t number);
    void remove(std::vector<IndexedWorker> &indexedWorkers, std::uint32_t number);
    /// The best ranked worker in which the demand fits. Empty if none was found among a bounded number of workers.
    [[nodiscard]] std::optional<std::uint32_t> best(const std::vector<IndexedWorker> &indexedWorkers, const PlacementQuery &query) const;

private:
    /// Levels of one axis. Level i starts at the free fraction (i / levels)^2, which gives low free fractions a finer resolution.
    /// With levels of equal width, the workers of a full shard would all be in cells that small demands have to search.
    static constexpr std::uint32_t levels = 16;
    static constexpr std::uint32_t cellsPerLayer = levels * levels;
    /// The layer bits separate workers with free accelerators, with free slots, and with any commitment.
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
    static std::uint32_t layerOf(const IndexedWorker &indexedWorker);
    void collectLayer(const Search &search, std::uint32_t layer) const;
    /// The best ranked fitting worker of the layers whose bits under @p mask are equal to @p value.
    std::optional<std::uint32_t> bestOfLayers(Search &search, std::uint32_t mask, std::uint32_t value) const;
    std::optional<std::uint32_t> bestOfCell(Search &search, std::uint32_t cell) const;

    std::array<std::vector<std::uint32_t>, std::size_t{layers} * cellsPerLayer> m_cells; ///< The worker numbers in each cell.
    std::array<std::uint16_t, std::size_t{layers} * levels> m_usedCells{}; ///< For each row of equal CPU level, a bit mask of the memory levels with workers.
    std::array<double, levels> m_middles{}; ///< Free fraction in the middle of each level.
    mutable std::vector<Candidate> m_candidates; ///< Scratch space of a search; a member to avoid reallocation.
};

} // namespace KingCupLadder
