// Chooses a worker for a task. Keeps an index of the workers by free room, so that a decision does not look at all of them.
#pragma once

#include "ids.h"
#include "resources.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace KingCupLadder {

enum class PlacementPolicy {
    FirstFit, ///< The first worker by id with room.
    BestFit, ///< The least free share of the scarcest resource that remains.
    DotProduct, ///< The best alignment of the demand with the free room.
};

/// A worker as the placement sees it. Only workers that may take new work are in the index.
struct WorkerLoad {
    WorkerId worker;
    RackId rack;
    Resources capacity;
    Resources committed; ///< Never above capacity.
    Resources observed; ///< Usage as reported, lagged; ranks workers and never widens the room.
};

struct PlacementOptions {
    std::vector<WorkerId> avoid;
    bool packTightly = false; ///< Prefer workers that are already in use, to leave others empty.
};

class PlacementIndex
{
public:
    explicit PlacementIndex(PlacementPolicy rule);
    ~PlacementIndex();
    PlacementIndex(const PlacementIndex &) = delete;
    PlacementIndex &operator=(const PlacementIndex &) = delete;

    /// Adds the worker or replaces what is known of it.
    void update(const WorkerLoad &load);
    void remove(const WorkerId &worker);
    [[nodiscard]] std::optional<WorkerId> choose(const Resources &demand, const PlacementOptions &options) const;
    /// One worker for each of @p count tasks, counting each task placed before; empty if they do not all fit.
    [[nodiscard]] std::optional<std::vector<WorkerId>> chooseAll(const Resources &demand, std::uint32_t count, const PlacementOptions &options) const;
    /// Whether an empty worker of the index could take the demand.
    [[nodiscard]] bool couldEverFit(const Resources &demand) const;
    [[nodiscard]] Resources totalCapacity() const;
    [[nodiscard]] Resources totalFree() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
