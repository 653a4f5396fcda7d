// Grid of workers by free resources.
#include "placementgrid.h"

#include <algorithm>
#include <cmath>

namespace KingCupLadder {

namespace {

/// Workers that a search examines before it gives up.
constexpr std::uint32_t maxWorkersExamined = 128;
/// Fitting workers that are compared within one bucket. A few are enough, since the free fractions of the workers of a bucket differ by
/// less than the size of the bucket.
constexpr std::uint32_t maxComparedPerBucket = 8;
/// Weight of the penalty for free resources in the dot-product score, which decides between workers that are about equally aligned.
constexpr double packingWeight = 0.25;

double shareOf(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

/// Fractions of CPU and memory, the two axes of the grid.
struct Point {
    double cpu = 0.0;
    double memory = 0.0;

    double length() const
    {
        return std::sqrt(cpu * cpu + memory * memory);
    }
};

Point pointOf(const Resources &amount, const Resources &capacity)
{
    return {shareOf(amount.cpu.value(), capacity.cpu.value()), shareOf(amount.memory.value(), capacity.memory.value())};
}

/// The negative fraction of the demand's dominant resource that remains free after placement. Higher is better.
double bestFitScore(const Point &demand, const Point &free)
{
    return demand.cpu >= demand.memory ? demand.cpu - free.cpu : demand.memory - free.memory;
}

/// The cosine between demand and free resources, minus a penalty for more free resources. Higher is better.
double alignmentScore(const Point &demand, const Point &free)
{
    const double lengths = demand.length() * free.length();
    const double cosine = lengths > 0.0 ? (demand.cpu * free.cpu + demand.memory * free.memory) / lengths : 0.0;
    return cosine - packingWeight * (free.cpu + free.memory);
}

double scoreOf(bool dotProduct, const Point &demand, const Point &free)
{
    return dotProduct ? alignmentScore(demand, free) : bestFitScore(demand, free);
}

double levelStart(std::uint32_t level, std::uint32_t levelCount)
{
    const double root = static_cast<double>(level) / levelCount;
    return root * root;
}

double levelMiddle(std::uint32_t level, std::uint32_t levelCount)
{
    return (levelStart(level, levelCount) + levelStart(level + 1, levelCount)) / 2.0;
}

} // namespace

struct PlacementGrid::Search {
    const std::vector<IndexedWorker> *indexedWorkers;
    const PlacementQuery *query;
    Point demand; ///< Fractions of the largest capacity. They are lower bounds for every worker, so no bucket with a fitting one is missed.
    std::uint32_t examined = 0; ///< Workers examined so far.
};

PlacementGrid::PlacementGrid()
{
    for (std::uint32_t level = 0; level < levelCount; ++level) {
        m_levelMiddles[level] = levelMiddle(level, levelCount);
    }
}

std::uint32_t PlacementGrid::levelOf(double share)
{
    const auto level = static_cast<std::uint32_t>(std::sqrt(share) * levelCount);
    return std::min(level, levelCount - 1);
}

std::uint32_t PlacementGrid::layerOf(const IndexedWorker &indexedWorker)
{
    std::uint32_t layer = indexedWorker.free.accelerators > Accelerators(0) ? acceleratorBit : 0;
    layer |= indexedWorker.free.slots > Slots(0) ? slotBit : 0;
    layer |= indexedWorker.free != indexedWorker.capacity ? inUseBit : 0;
    return layer;
}

void PlacementGrid::insert(std::vector<IndexedWorker> &indexedWorkers, std::uint32_t number)
{
    IndexedWorker &indexedWorker = indexedWorkers[number];
    const Point free = pointOf(indexedWorker.free, indexedWorker.capacity);
    const std::uint32_t row = layerOf(indexedWorker) * levelCount + levelOf(free.cpu);
    const std::uint32_t column = levelOf(free.memory);
    indexedWorker.bucket = row * levelCount + column;
    std::vector<std::uint32_t> &bucket = m_buckets[indexedWorker.bucket];
    indexedWorker.bucketPosition = static_cast<std::uint32_t>(bucket.size());
    bucket.push_back(number);
    m_usedBuckets[row] = static_cast<std::uint16_t>(m_usedBuckets[row] | (1U << column));
}

void PlacementGrid::remove(std::vector<IndexedWorker> &indexedWorkers, std::uint32_t number)
{
    const IndexedWorker &indexedWorker = indexedWorkers[number];
    std::vector<std::uint32_t> &bucket = m_buckets[indexedWorker.bucket];
    bucket[indexedWorker.bucketPosition] = bucket.back();
    indexedWorkers[bucket.back()].bucketPosition = indexedWorker.bucketPosition;
    bucket.pop_back();
    if (bucket.empty()) {
        std::uint16_t &row = m_usedBuckets[indexedWorker.bucket / levelCount];
        row = static_cast<std::uint16_t>(row & ~(1U << (indexedWorker.bucket % levelCount)));
    }
}

void PlacementGrid::collectLayer(const Search &search, std::uint32_t layer) const
{
    const std::uint32_t lowestColumn = levelOf(search.demand.memory);
    for (std::uint32_t level = levelOf(search.demand.cpu); level < levelCount; ++level) {
        const std::uint32_t row = layer * levelCount + level;
        const std::uint32_t used = m_usedBuckets[row];
        for (std::uint32_t column = lowestColumn; column < levelCount && (used >> column) != 0; ++column) {
            if ((used >> column & 1U) == 0) {
                continue;
            }
            const Point middle{m_levelMiddles[level], m_levelMiddles[column]};
            m_candidates.push_back({row * levelCount + column, scoreOf(search.query->dotProduct, search.demand, middle)});
        }
    }
}

std::optional<std::uint32_t> PlacementGrid::bestOfBucket(Search &search, std::uint32_t bucket) const
{
    std::optional<std::uint32_t> best;
    double bestScore = 0.0;
    std::uint32_t compared = 0;
    const std::vector<std::uint32_t> &avoid = *search.query->avoid;
    for (const std::uint32_t number : m_buckets[bucket]) {
        if (compared >= maxComparedPerBucket || ++search.examined > maxWorkersExamined) {
            break;
        }
        const IndexedWorker &indexedWorker = (*search.indexedWorkers)[number];
        if (!search.query->demand->fitsIn(indexedWorker.free) || std::find(avoid.begin(), avoid.end(), number) != avoid.end()) {
            continue;
        }
        ++compared;
        const Point demand = pointOf(*search.query->demand, indexedWorker.capacity);
        const double score = scoreOf(search.query->dotProduct, demand, pointOf(indexedWorker.free, indexedWorker.capacity)) - indexedWorker.overuse;
        if (!best || score > bestScore) {
            best = number;
            bestScore = score;
        }
    }
    return best;
}

std::optional<std::uint32_t> PlacementGrid::bestOfLayers(Search &search, std::uint32_t mask, std::uint32_t value) const
{
    const auto hasLowerScore = [](const Candidate &a, const Candidate &b) { return a.score < b.score; };
    m_candidates.clear();
    for (std::uint32_t layer = 0; layer < layerCount; ++layer) {
        if ((layer & mask) == value) {
            collectLayer(search, layer);
        }
    }
    std::make_heap(m_candidates.begin(), m_candidates.end(), hasLowerScore);
    while (!m_candidates.empty() && search.examined < maxWorkersExamined) {
        std::pop_heap(m_candidates.begin(), m_candidates.end(), hasLowerScore);
        if (const auto best = bestOfBucket(search, m_candidates.back().bucket)) {
            return best;
        }
        m_candidates.pop_back();
    }
    return std::nullopt;
}

std::optional<std::uint32_t> PlacementGrid::best(const std::vector<IndexedWorker> &indexedWorkers, const PlacementQuery &query) const
{
    Search search{&indexedWorkers, &query, pointOf(*query.demand, query.largestCapacity), 0};
    const bool needsAccelerator = query.demand->accelerators > Accelerators(0);
    const std::uint32_t slots = query.demand->slots > Slots(0) ? slotBit : 0;
    const std::uint32_t inUse = query.packTightly ? inUseBit : 0;
    // Work that needs no accelerator goes to workers with free accelerators only if it fits nowhere else: the loop
    // searches the layers without the accelerator bit, if they are enough, and then those with it.
    for (std::uint32_t accelerator = needsAccelerator ? acceleratorBit : 0; accelerator <= acceleratorBit; ++accelerator) {
        if (const auto found = bestOfLayers(search, acceleratorBit | slots | inUse, accelerator | slots | inUse)) {
            return found;
        }
        if (!query.packTightly) {
            continue;
        }
        // No worker in use was found, so the empty ones are searched.
        if (const auto found = bestOfLayers(search, acceleratorBit | slots | inUse, accelerator | slots)) {
            return found;
        }
    }
    return std::nullopt;
}

} // namespace KingCupLadder
