// Serves callers: submits, shows and cancels jobs, and counts what waits in a queue. A request passes a chain of filters
// (route, key, configuration still confirmed) before its operation.
#pragma once

#include "cellstorage.h"
#include "configwatcher.h"
#include "peermessaging.h"
#include "platforminterfaces.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace KingCupLadder {

struct JobApiSettings {
    Duration leaderTimeout{350}; ///< For one question to the leader; then the store is asked.
    Duration maxAdmissionTime{2500}; ///< Of the attempts to store a job.
    Duration answerMargin{150}; ///< An answer is sent so long before the caller gives up.
    Duration defaultCallerTimeout{3000}; ///< Of a caller that does not say how long it waits.
    Duration noticeRetryInterval{300}; ///< Between notices to a leader that has not acknowledged one.
    Duration noticeExpiry{6000}; ///< By then the leader has found the rows itself.
    Duration maxQueueCountAge{1800}; ///< Counts of queues may be 2 s old.
};

/// The leader and the store as the desk reaches them.
struct CellAccess {
    /// Asks the leader, which may be this daemon; the callback gets null if there is none or no answer in time.
    std::function<void(PeerMessaging::Envelope question, Duration timeout, PeerMessaging::AnswerCallback callback)> ask;
    /// True while the store does not answer: a job can't be admitted now.
    std::function<bool()> isStoreDown;
    /// Jobs that wait, by route, as last told by the leader; null if that is too old.
    std::function<const std::map<RouteName, int> *(Duration maxConfigAge)> queued;
};

struct JobApiCounters {
    std::map<std::string, std::uint64_t> answers; ///< By operation and status, such as "submit 200".
};

class JobApi
{
public:
    JobApi(EventLoop &loop, const JobApiSettings &settings, const PlatformCodec &translation, ConfigWatcher &config, CellStorage &rows, CellAccess cell);

    void handle(const HttpCallPtr &call);
    /// Repeats notices that the leader has not acknowledged.
    void tick();
    [[nodiscard]] const JobApiCounters &counters() const;
    /// Notices that the leader has not acknowledged.
    [[nodiscard]] std::size_t pendingNotices() const;

private:
    /// One caller's request.
    struct Request {
        HttpCallPtr call;
        CallerHeaders head;
        TimePoint deadline; ///< The answer has to be sent by then.
        const CellRoute *route = nullptr; ///< Valid only while the request is being filtered.
        RouteName routeName;
        WorkspaceId workspace; ///< Empty on a public route without a key.
        JobId job; ///< Empty: the queue is meant.
        const char *operation = "";
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Notice {
        PeerMessaging::Envelope message; ///< Names the job by its id at first.
        CellJob job;
        TimePoint next;
        TimePoint giveUp;
        bool open = false;
    };

    [[nodiscard]] bool passesFilters(const RequestPtr &request);
    void submit(const RequestPtr &request);
    void store(const RequestPtr &request, const CellJob &job);
    void show(const RequestPtr &request);
    void showStored(const RequestPtr &request);
    void cancel(const RequestPtr &request);
    void cancelKnown(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace);
    void count(const RequestPtr &request);
    void answerState(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace);
    void respond(const RequestPtr &request, int status, const std::string &body, const std::string &reason, Duration retryAfter = Duration(0));
    void refuse(const RequestPtr &request, int status, const Error &error, Duration retryAfter = Duration(0));
    void notify(const CellJob &job, PeerMessaging::Envelope message);
    [[nodiscard]] Duration left(const RequestPtr &request) const;
    [[nodiscard]] bool mayRead(const RequestPtr &request, const WorkspaceId &owner) const;

    EventLoop &m_loop;
    JobApiSettings m_settings;
    const PlatformCodec &m_translation;
    ConfigWatcher &m_config;
    CellStorage &m_rows;
    CellAccess m_cell;
    std::map<std::uint64_t, Notice> m_notices;
    std::uint64_t m_lastNotice = 0;
    JobApiCounters m_counters;
};

} // namespace KingCupLadder
