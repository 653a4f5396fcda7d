// What the node needs from the platform's side: calls to workers and to the policy service, and decoders of what the platform
// and the callers send. The platform's adapter implements these; tests use handwritten fakes.
#pragma once

#include "cell/cellconfig.h"
#include "cell/celljob.h"
#include "cell/cellscheduler.h"
#include "core/error.h"
#include "daemon/httptypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace KingCupLadder {

/// Orders to workers. Callbacks come exactly once, after the call has returned.
class WorkerPort
{
public:
    using OrderCallback = std::function<void(const OrderAnswer &)>;
    using HoldCallback = std::function<void(const std::optional<HoldView> &)>; ///< Empty: no answer.

    WorkerPort() = default;
    virtual ~WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    WorkerPort &operator=(const WorkerPort &) = delete;

    virtual void start(const StartOrder &order, Epoch epoch, OrderCallback callback) = 0;
    virtual void stop(const StopOrder &order, Epoch epoch, OrderCallback callback) = 0;
    virtual void hold(const HoldOrder &order, Epoch epoch, HoldCallback callback) = 0;
};

/// The service that knows which workers may run a step.
class AdvicePort
{
public:
    using Callback = std::function<void(const AdviceAnswer &)>;

    AdvicePort() = default;
    virtual ~AdvicePort() = default;
    AdvicePort(const AdvicePort &) = delete;
    AdvicePort &operator=(const AdvicePort &) = delete;

    virtual void ask(const StepRef &step, const std::vector<WorkerId> &workers, Duration timeout, Callback callback) = 0;
};

/// What the head of a caller's request says.
struct CallerHead {
    std::string host;
    std::string key; ///< Empty: none.
    std::string requestId;
    Duration patience{0}; ///< How long the caller waits for the answer; 0: not said.
};

/// Translations between bytes and the node's types.
struct Translation {
    std::function<CallerHead(const HttpRequest &)> readHead;
    std::function<Result<CellJob>(const std::string &body)> decodeJob; ///< Steps and payload; the rest is filled in by the node.
    std::function<std::string(CellJobState)> encodeState;
    std::function<std::string(int queued)> encodeQueued;
    std::function<std::string(const Error &)> encodeError;
    std::function<Result<CellConfig>(const std::string &bytes)> decodeConfig;
    /// Empty for an entry that names no usable worker.
    std::function<std::optional<WorkerInfo>(const std::string &key, const std::string &bytes)> decodeWorker;
    std::string configTable;
    std::string configKey;
    std::string workerTable;
};

} // namespace KingCupLadder
