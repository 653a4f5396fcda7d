// The scenarios of the review's scripts. Each returns the exit code: 0, the rule held; 1, it was broken; 2, the case could not run.
#pragma once

#include "world.h"

namespace Review {

int playManyEnds(World &world, bool trouble);
int playRemovedRoute(World &world, bool trouble);
int playCrashes(World &world, bool trouble);
int playBacklog(World &world, bool trouble);
int playOldRows(World &world, bool trouble);

/// Records the breaches of TWICE, the first of them in full.
int verdictOfTwice(World &world, bool hasRun);

} // namespace Review
