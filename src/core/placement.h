// Chooses a worker for a task. Keeps an index of workers by free resources, so a decision does not examine all of them.
#pragma once

#include "ids.h"
#include "resources.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace KingCupLadder {

enum class PlacementPolicy {
    FirstFit, ///< The first worker by id in which the demand fits.
    BestFit, ///< The worker with the least remaining share of the demand's dominant resource.
    DotProduct, ///< The worker whose free resources are best aligned with the demand vector.
};

/// Capacity and load of one worker. Only workers that accept new work are in the index.
struct WorkerLoad {
    WorkerId worker;
    RackId rack; ///< Not used by the policies.
    Resources capacity;
    Resources committed; ///< Never exceeds the capacity.
    Resources observed; ///< Reported usage, which lags; affects only the ranking, never what fits.
};

struct PlacementOptions {
    std::vector<WorkerId> avoid; ///< Workers that are never chosen, even if the demand fits nowhere else.
    bool packTightly = false; ///< Prefer workers that are in use, so that others stay empty.
};

class PlacementIndex
{
public:
    explicit PlacementIndex(PlacementPolicy policy);
    ~PlacementIndex();
    PlacementIndex(const PlacementIndex &) = delete;
    PlacementIndex &operator=(const PlacementIndex &) = delete;

    /// Adds or updates the worker.
    void update(const WorkerLoad &load);
    void remove(const WorkerId &worker);
    [[nodiscard]] std::optional<WorkerId> choose(const Resources &demand, const PlacementOptions &options) const;
    /// A worker for each of @p count tasks that run at the same time. Empty if they do not all fit.
    [[nodiscard]] std::optional<std::vector<WorkerId>> chooseAll(const Resources &demand, std::uint32_t count, const PlacementOptions &options) const;
    /// Whether the demand fits into the capacity of any worker in the index.
    [[nodiscard]] bool couldEverFit(const Resources &demand) const;
    [[nodiscard]] Resources totalCapacity() const;
    [[nodiscard]] Resources totalFree() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
