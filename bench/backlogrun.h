// Measures how long a scheduling round of a cell's leader takes on a full cell, depending on the number of waiting steps.
#pragma once

#include <vector>

namespace KingCupLadder {

struct BacklogRunSettings {
    std::vector<int> workers{350, 1000};
    std::vector<int> waitingSteps{0, 300, 3000};
};

/// Runs each combination of the settings and prints a table of the times of the rounds.
void printBacklogRuns(const BacklogRunSettings &settings);

} // namespace KingCupLadder
