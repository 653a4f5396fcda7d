// Gateways to workers and to the policy service that never answer, for tests of a daemon that needs neither.
#pragma once

#include "node/platforminterfaces.h"

#include <vector>

namespace KingCupLadder {

class NoWorkers : public WorkerGateway
{
public:
    void start(const StartOrder &, Epoch, OrderCallback) override { }
    void stop(const StopOrder &, Epoch, OrderCallback) override { }
    void hold(const HoldOrder &, Epoch, HoldCallback) override { }
};

class NoAdvice : public AdviceGateway
{
public:
    void ask(const StepRef &, const std::vector<WorkerId> &, Duration, Callback) override { }
};

} // namespace KingCupLadder
