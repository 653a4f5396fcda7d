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
class WorkerGateway
{
public:
    using OrderCallback = std::function<void(const OrderAnswer &)>;
    using HoldCallback = std::function<void(const std::optional<HoldReply> &)>; ///< Empty: no answer.

    WorkerGateway() = default;
    virtual ~WorkerGateway() = default;
    WorkerGateway(const WorkerGateway &) = delete;
    WorkerGateway &operator=(const WorkerGateway &) = delete;

    virtual void start(const StartOrder &order, Epoch epoch, OrderCallback callback) = 0;
    virtual void stop(const StopOrder &order, Epoch epoch, OrderCallback callback) = 0;
    virtual void hold(const HoldOrder &order, Epoch epoch, HoldCallback callback) = 0;
};

/// The service that knows which workers may run a step.
class AdviceGateway
{
public:
    using Callback = std::function<void(const AdviceAnswer &)>;

    AdviceGateway() = default;
    virtual ~AdviceGateway() = default;
    AdviceGateway(const AdviceGateway &) = delete;
    AdviceGateway &operator=(const AdviceGateway &) = delete;

    virtual void ask(const StepRef &step, const std::vector<WorkerId> &workers, Duration timeout, Callback callback) = 0;
};

/// What the head of a caller's request says.
struct CallerHeaders {
    std::string host;
    std::string key; ///< Empty: none.
    std::string requestId;
    Duration patience{0}; ///< How long the caller waits for the answer; 0: not said.
};

/// Translations between bytes and the node's types.
struct PlatformCodec {
    std::function<CallerHeaders(const HttpRequest &)> parseHeaders;
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
