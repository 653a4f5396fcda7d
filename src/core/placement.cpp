// The placement index holds the workers in two structures: a segment tree of maxima in id order finds the first worker in which a
// demand fits, and a grid of buckets by free CPU and memory finds the best ranked one after examining a few buckets.
#include "placement.h"

#include "placementgrid.h"
#include "placementtree.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>

namespace KingCupLadder {

namespace {

struct ByComponents {
    bool operator()(const Resources &a, const Resources &b) const
    {
        return std::tie(a.cpu, a.memory, a.accelerators, a.slots) < std::tie(b.cpu, b.memory, b.accelerators, b.slots);
    }
};

/// Fraction of the capacity by which the observed usage exceeds the commitments. Such workers are ranked lower.
double overuse(const WorkerLoad &load)
{
    return (load.observed - load.committed).clampedToNonNegative().dominantShareOf(load.capacity);
}

} // namespace

class PlacementIndex::Private
{
public:
    explicit Private(PlacementPolicy chosenPolicy) : policy(chosenPolicy) { }

    /// Returns the number of the worker; assigns one if the worker is new.
    std::uint32_t findOrAddNumber(const WorkerId &worker);
    void update(const WorkerLoad &load);
    void remove(const WorkerId &worker);
    /// Subtracts the demand from the worker's free resources. A negative demand undoes this.
    void place(std::uint32_t number, const Resources &demand);
    std::vector<std::uint32_t> numbersOf(const std::vector<WorkerId> &ids) const;
    std::optional<std::uint32_t> choose(const Resources &demand, const std::vector<std::uint32_t> &avoid, bool packTightly);
    Resources largestCapacity() const;
    void addTotals(const IndexedWorker &indexedWorker);
    void subtractTotals(const IndexedWorker &indexedWorker);

    PlacementPolicy policy;
    std::vector<IndexedWorker> indexedWorkers; ///< By number; numbers of removed workers are reused.
    std::vector<std::uint32_t> unusedNumbers;
    std::unordered_map<WorkerId, std::uint32_t> numbers;
    std::map<Resources, std::uint32_t, ByComponents> capacities; ///< Number of workers with each capacity.
    PlacementTree tree;
    PlacementGrid grid;
    Resources capacity;
    Resources free;
};

std::uint32_t PlacementIndex::Private::findOrAddNumber(const WorkerId &worker)
{
    const auto found = numbers.find(worker);
    if (found != numbers.end()) {
        return found->second;
    }
    auto number = static_cast<std::uint32_t>(indexedWorkers.size());
    if (unusedNumbers.empty()) {
        indexedWorkers.emplace_back();
    } else {
        number = unusedNumbers.back();
        unusedNumbers.pop_back();
    }
    numbers.emplace(worker, number);
    return number;
}

void PlacementIndex::Private::addTotals(const IndexedWorker &indexedWorker)
{
    capacity += indexedWorker.capacity;
    free += indexedWorker.free;
    ++capacities[indexedWorker.capacity];
}

void PlacementIndex::Private::subtractTotals(const IndexedWorker &indexedWorker)
{
    capacity -= indexedWorker.capacity;
    free -= indexedWorker.free;
    const auto found = capacities.find(indexedWorker.capacity);
    if (--found->second == 0) {
        capacities.erase(found);
    }
}

void PlacementIndex::Private::update(const WorkerLoad &load)
{
    const std::uint32_t number = findOrAddNumber(load.worker);
    IndexedWorker &indexedWorker = indexedWorkers[number];
    const bool isNew = !indexedWorker.present;
    if (!isNew) {
        subtractTotals(indexedWorker);
        grid.remove(indexedWorkers, number);
    }
    indexedWorker.present = true;
    indexedWorker.worker = load.worker;
    indexedWorker.capacity = load.capacity;
    indexedWorker.free = (load.capacity - load.committed).clampedToNonNegative();
    indexedWorker.overuse = overuse(load);
    addTotals(indexedWorker);
    grid.insert(indexedWorkers, number);
    if (isNew) {
        tree.invalidate();
    } else {
        tree.updateLeaf(indexedWorkers, number);
    }
}

void PlacementIndex::Private::remove(const WorkerId &worker)
{
    const auto found = numbers.find(worker);
    if (found == numbers.end()) {
        return;
    }
    IndexedWorker &indexedWorker = indexedWorkers[found->second];
    subtractTotals(indexedWorker);
    grid.remove(indexedWorkers, found->second);
    indexedWorker = IndexedWorker{};
    unusedNumbers.push_back(found->second);
    numbers.erase(found);
    tree.invalidate();
}

void PlacementIndex::Private::place(std::uint32_t number, const Resources &demand)
{
    IndexedWorker &indexedWorker = indexedWorkers[number];
    grid.remove(indexedWorkers, number);
    indexedWorker.free -= demand;
    grid.insert(indexedWorkers, number);
    tree.updateLeaf(indexedWorkers, number);
}

Resources PlacementIndex::Private::largestCapacity() const
{
    Resources largest;
    for (const auto &entry : capacities) {
        largest = componentMax(largest, entry.first);
    }
    return largest;
}

std::vector<std::uint32_t> PlacementIndex::Private::numbersOf(const std::vector<WorkerId> &ids) const
{
    std::vector<std::uint32_t> result;
    for (const WorkerId &id : ids) {
        const auto found = numbers.find(id);
        if (found != numbers.end()) {
            result.push_back(found->second);
        }
    }
    return result;
}

std::optional<std::uint32_t> PlacementIndex::Private::choose(const Resources &demand, const std::vector<std::uint32_t> &avoid, bool packTightly)
{
    tree.refresh(indexedWorkers);
    if (!tree.mayFit(demand)) {
        return std::nullopt;
    }
    if (policy == PlacementPolicy::FirstFit) {
        if (packTightly) {
            if (const auto inUse = tree.first(indexedWorkers, demand, avoid, true)) {
                return inUse;
            }
        }
        return tree.first(indexedWorkers, demand, avoid, false);
    }
    const PlacementQuery query{&demand, &avoid, policy == PlacementPolicy::DotProduct, packTightly, largestCapacity()};
    if (const auto best = grid.best(indexedWorkers, query)) {
        return best;
    }
    // The grid examines a bounded number of workers; if it finds none, the tree decides whether the demand fits anywhere.
    return tree.first(indexedWorkers, demand, avoid, false);
}

PlacementIndex::PlacementIndex(PlacementPolicy policy) : d(std::make_unique<Private>(policy)) { }

PlacementIndex::~PlacementIndex() = default;

void PlacementIndex::update(const WorkerLoad &load)
{
    d->update(load);
}

void PlacementIndex::remove(const WorkerId &worker)
{
    d->remove(worker);
}

std::optional<WorkerId> PlacementIndex::choose(const Resources &demand, const PlacementOptions &options) const
{
    const auto number = d->choose(demand, d->numbersOf(options.avoid), options.packTightly);
    if (!number) {
        return std::nullopt;
    }
    return d->indexedWorkers[*number].worker;
}

std::optional<std::vector<WorkerId>> PlacementIndex::chooseAll(const Resources &demand, std::uint32_t count, const PlacementOptions &options) const
{
    const std::vector<std::uint32_t> avoid = d->numbersOf(options.avoid);
    std::vector<std::uint32_t> placed;
    while (placed.size() < count) {
        const auto number = d->choose(demand, avoid, options.packTightly);
        if (!number) {
            break;
        }
        d->place(*number, demand);
        placed.push_back(*number);
    }
    std::vector<WorkerId> workers;
    for (const std::uint32_t number : placed) {
        workers.push_back(d->indexedWorkers[number].worker);
        d->place(number, demand * -1);
    }
    if (placed.size() < count) {
        return std::nullopt;
    }
    return workers;
}

bool PlacementIndex::couldEverFit(const Resources &demand) const
{
    return std::any_of(d->capacities.begin(), d->capacities.end(), [&demand](const auto &entry) { return demand.fitsIn(entry.first); });
}

Resources PlacementIndex::totalCapacity() const
{
    return d->capacity;
}

Resources PlacementIndex::totalFree() const
{
    return d->free;
}

} // namespace KingCupLadder
