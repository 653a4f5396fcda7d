// HTTP API for callers: submits, shows and cancels jobs, and reports the length of a queue. Each request is checked first: its
// route, its API key, and that the configuration is recent enough.
#pragma once

#include "cellstorage.h"
#include "configwatcher.h"
#include "peermessaging.h"
#include "platforminterfaces.h"
#include "workspaceshares.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace KingCupLadder {

struct JobApiSettings {
    Duration leaderTimeout{350}; ///< Time-out of a request to the leader. Without a reply, the daemon uses the store directly.
    Duration maxAdmissionTime{2500}; ///< Total time for attempts to store a job.
    Duration responseMargin{150}; ///< Responses are sent this long before the caller's deadline.
    Duration defaultCallerTimeout{3000}; ///< Used if the caller does not specify a deadline.
    Duration maxRequestTime{10000}; ///< A later deadline of a caller is not used: its request would hold a connection to the store until then.
    Duration noticeRetryInterval{300}; ///< Until a notice that the leader has not acknowledged is sent again.
    Duration noticeExpiry{6000}; ///< By then the leader has found the rows by polling the store.
    Duration maxQueueCountAge{1800}; ///< Reported queue lengths must not be older than 2 s.
    WorkspaceShareLimits workspaceShare;
};

/// Access to the leader and to the state of the store.
struct LeaderAccess {
    /// Sends a request to the leader, which may be this daemon. The callback receives null if there is no leader or it does not answer in
    /// time.
    std::function<void(PeerMessaging::Envelope peerRequest, Duration timeout, PeerMessaging::ReplyCallback callback)> sendRequest;
    /// True while the store does not answer and no job can be admitted.
    std::function<bool()> isStoreDown;
    /// Queued jobs by route, as last reported by the leader; null if the report is older than @p maxAge.
    std::function<const std::map<RouteName, int> *(Duration maxAge)> queued;
};

struct JobApiCounters {
    std::map<std::string, std::uint64_t> answers; ///< Responses by operation and status, such as "submit 200".
};

class JobApi
{
public:
    JobApi(EventLoop &loop, const JobApiSettings &settings, const PlatformCodec &codec, ConfigWatcher &config, CellStorage &storage, LeaderAccess leaderAccess);

    void handle(const HttpCallPtr &call);
    /// From now on each response is sent by @p end at the latest. A request that leaves too little time for that is rejected at once.
    void setStopTime(TimePoint requestedAt, TimePoint end);
    /// Resends notices that the leader has not acknowledged.
    void tick();
    [[nodiscard]] const JobApiCounters &counters() const;
    /// Number of notices that the leader has not acknowledged.
    [[nodiscard]] std::size_t pendingNotices() const;

private:
    /// A caller's request while it is being processed.
    struct Request {
        HttpCallPtr call;
        CallerHeaders callerHeaders;
        TimePoint deadline; ///< The response must be sent by then.
        RouteName routeName;
        WorkspaceId workspace; ///< Empty on a public route without an API key.
        JobId job; ///< Empty: the request addresses the queue.
        const char *operation = "";
        WorkspaceShares::Use share; ///< Held while the request or a call to the store or the leader for it is in progress.
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Notice {
        PeerMessaging::Envelope message; ///< Contains only the job's ID at first; the whole job when it is resent.
        CellJob job;
        TimePoint nextAttempt;
        TimePoint expiry;
        bool inFlight = false;
    };

    /// Checks the route, the API key and the age of the configuration, and sets the request's route name, job and workspace. Returns false after
    /// sending an error response.
    [[nodiscard]] bool checkRequest(const RequestPtr &request);
    /// Counts the request toward its workspace's share. Responds and returns false if the share is used up.
    [[nodiscard]] bool takeShare(const RequestPtr &request);
    /// Responds and returns false if the request names a job by a text that is no job's id. Such a text could not be used in a task's name or as
    /// the key of a row.
    [[nodiscard]] bool checkJobId(const RequestPtr &request);
    void submit(const RequestPtr &request);
    void storeJob(const RequestPtr &request, const CellJob &job);
    void show(const RequestPtr &request);
    void showStoredState(const RequestPtr &request);
    void cancel(const RequestPtr &request);
    void cancelInState(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace);
    void reportQueueLength(const RequestPtr &request);
    /// Limits the request's time to that of the daemon, if it stops. Responds and returns false if too little is left.
    [[nodiscard]] bool limitToStopTime(const RequestPtr &request);
    void respondWithState(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace);
    void respond(const RequestPtr &request, int status, const std::string &body, const std::string &reason, Duration retryAfter = Duration(0));
    void logResponse(const RequestPtr &request, int status, const std::string &reason) const;
    void respondWithError(const RequestPtr &request, int status, const Error &error, Duration retryAfter = Duration(0));
    void notifyLeader(const CellJob &job, PeerMessaging::Envelope message);
    [[nodiscard]] Duration remainingTime(const RequestPtr &request) const;
    [[nodiscard]] bool canAccess(const RequestPtr &request, const WorkspaceId &owner) const;

    EventLoop &m_loop;
    JobApiSettings m_settings;
    const PlatformCodec &m_codec;
    ConfigWatcher &m_configWatcher;
    CellStorage &m_storage;
    LeaderAccess m_access;
    WorkspaceShares m_workspaceShares;
    TimePoint m_stopRequestedAt; ///< Zero: the daemon goes on.
    TimePoint m_stopTime; ///< While the daemon stops: all responses have to be sent by then.
    std::map<std::uint64_t, Notice> m_notices;
    std::uint64_t m_lastNoticeId = 0;
    JobApiCounters m_counters;
};

} // namespace KingCupLadder
