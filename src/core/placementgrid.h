// Internal to PlacementIndex: a grid of buckets that hold the workers by their free fractions of CPU and memory. A search ranks the
// non-empty buckets and examines the workers of the best ones only.
#pragma once

#include "placementtree.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

/// A search for the best worker for one demand.
struct PlacementQuery {
    const Resources *demand;
    const std::vector<std::uint32_t> *avoid;
    bool dotProduct;
    bool packTightly;
    Resources largestCapacity; ///< Component-wise maximum of the capacities of all workers in the index.
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
    /// Number of levels of one axis. Level i starts at the free fraction (i / levelCount)^2, so the levels are narrower at low free
    /// fractions. With levels of equal width, all workers of a full shard would be in the few lowest buckets, and each search for a
    /// small demand would examine them.
    static constexpr std::uint32_t levelCount = 16;
    static constexpr std::uint32_t bucketsPerLayer = levelCount * levelCount;
    /// The layer bits separate workers with free accelerators, with free slots, and with any commitment.
    static constexpr std::uint32_t acceleratorBit = 1;
    static constexpr std::uint32_t slotBit = 2;
    static constexpr std::uint32_t inUseBit = 4;
    static constexpr std::uint32_t layerCount = 8;

    struct Candidate {
        std::uint32_t bucket;
        double score;
    };
    struct Search;

    static std::uint32_t levelOf(double share);
    static std::uint32_t layerOf(const IndexedWorker &indexedWorker);
    void collectLayer(const Search &search, std::uint32_t layer) const;
    /// The best ranked fitting worker of the layers whose bits under @p mask are equal to @p value.
    std::optional<std::uint32_t> bestOfLayers(Search &search, std::uint32_t mask, std::uint32_t value) const;
    std::optional<std::uint32_t> bestOfBucket(Search &search, std::uint32_t bucket) const;

    std::array<std::vector<std::uint32_t>, std::size_t{layerCount} * bucketsPerLayer> m_buckets; ///< The worker numbers in each bucket.
    std::array<std::uint16_t, std::size_t{layerCount} * levelCount>
        m_usedBuckets{}; ///< For each row of equal CPU level, a bit mask of the memory levels with workers.
    std::array<double, levelCount> m_levelMiddles{}; ///< Free fraction in the middle of each level.
    mutable std::vector<Candidate> m_candidates; ///< Scratch space of a search; a member to avoid reallocation.
};

} // namespace KingCupLadder
