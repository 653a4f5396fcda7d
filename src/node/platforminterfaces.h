// Interfaces between the node and the platform: calls to workers and to the policy service, and codecs for what the platform and
// the callers send. The platform adapter implements them; tests use handwritten fakes.
#pragma once

#include "cell/cellconfig.h"
#include "cell/celljob.h"
#include "cell/cellscheduler.h"
#include "core/error.h"
#include "core/ids.h"
#include "daemon/httptypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace KingCupLadder {

/// Sends orders to workers. Each callback runs exactly once, after the call has returned.
class WorkerGateway
{
public:
    using OrderCallback = std::function<void(const OrderAnswer &)>;
    using HoldCallback = std::function<void(const std::optional<HoldReply> &)>; ///< Empty: the worker did not answer.

    WorkerGateway() = default;
    virtual ~WorkerGateway() = default;
    WorkerGateway(const WorkerGateway &) = delete;
    WorkerGateway &operator=(const WorkerGateway &) = delete;

    virtual void start(const StartOrder &order, Epoch epoch, OrderCallback callback) = 0;
    virtual void stop(const StopOrder &order, Epoch epoch, OrderCallback callback) = 0;
    /// Renews the lease of a worker and reads its lists of running and ended runs.
    virtual void hold(const HoldOrder &order, Epoch epoch, HoldCallback callback) = 0;
};

/// Queries the policy service, which decides which workers may run a step.
class AdviceGateway
{
public:
    using Callback = std::function<void(const AdviceAnswer &)>;

    AdviceGateway() = default;
    virtual ~AdviceGateway() = default;
    AdviceGateway(const AdviceGateway &) = delete;
    AdviceGateway &operator=(const AdviceGateway &) = delete;

    /// Asks which of @p workers may run the step.
    virtual void ask(const StepRef &step, const std::vector<WorkerId> &workers, Duration timeout, Callback callback) = 0;
};

/// Header values of a caller's request.
struct CallerHeaders {
    std::string host;
    std::string key; ///< API key; empty: none was sent.
    std::string requestId;
    Duration callerTimeout{0}; ///< How long the caller waits for the response; 0: not specified.
};

/// A row by which the operator evacuates a failure domain.
struct EvacuationRow {
    FailureDomain domain;
    bool isValueValid = true; ///< The row's existence counts even if its value is not as documented.
};

/// Encoders and decoders between the platform's formats and the node's types.
struct PlatformCodec {
    std::function<CallerHeaders(const HttpRequest &)> parseHeaders;
    std::function<bool(const std::string &)> isJobId; ///< Whether callers may use the text as a job's id.
    std::function<Result<CellJob>(const std::string &body)> decodeJob; ///< Decodes steps and payload; the node fills in the rest.
    std::function<std::string(CellJobState)> encodeState;
    std::function<std::string(int queued)> encodeQueued;
    std::function<std::string(const Error &)> encodeError;
    std::function<Result<CellConfig>(const std::string &bytes)> decodeConfig; ///< Decodes the value of the row configKey in configTable.
    /// Decodes a row of workerTable; returns an empty value for an entry that does not describe a usable worker.
    std::function<std::optional<WorkerInfo>(const std::string &key, const std::string &bytes)> decodeWorker;
    /// Decodes a row of configTable whose key begins with evacuationPrefix; returns an empty value if the key names no failure domain.
    std::function<std::optional<EvacuationRow>(const std::string &key, const std::string &bytes)> decodeEvacuation;
    std::string configTable;
    std::string configKey;
    std::string evacuationPrefix; ///< Of the keys of the evacuation rows in configTable; empty: the platform has none.
    std::string workerTable;
};

} // namespace KingCupLadder
