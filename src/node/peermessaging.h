// Messages between the daemons of a cell: plain messages, and questions that get one answer or time out.
#pragma once

#include "cell.pb.h"
#include "cell/leadership.h"
#include "daemon/peertransport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace KingCupLadder {

class PeerMessaging
{
public:
    using Envelope = CellWire::CellEnvelope;
    using Handler = std::function<void(const Envelope &)>;
    using AnswerCallback = std::function<void(const Envelope *answer)>; ///< Null: no answer in time.

    [[nodiscard]] static Result<std::unique_ptr<PeerMessaging>> create(EventLoop &loop, const CellMember &self, Handler handler);

    /// Small messages to one address that come at about the same time leave as one.
    void send(const std::string &address, Envelope message);
    /// The callback comes exactly once, after the call has returned.
    void ask(const std::string &address, Envelope question, Duration timeout, AnswerCallback callback);
    void answer(const Envelope &question, Envelope answer);
    /// Ends questions that are overdue; to be called regularly.
    void expire(TimePoint now);
    [[nodiscard]] const PeerCounters &counters() const;

private:
    struct Open {
        TimePoint deadline;
        AnswerCallback callback;
    };

    PeerMessaging(EventLoop &loop, const CellMember &self, Handler handler);
    [[nodiscard]] bool receive(std::string_view bytes);
    void handle(const Envelope &message);
    void flush();
    void transmit(const std::string &address, Envelope message);

    EventLoop &m_loop;
    CellMember m_self;
    Handler m_handler;
    std::unique_ptr<PeerTransport> m_transport;
    std::map<std::string, Envelope> m_outbox; ///< By address: what leaves at the next flush.
    std::unique_ptr<EventWatch> m_flush;
    bool m_flushSet = false;
    std::map<std::uint64_t, Open> m_open;
    std::uint64_t m_lastCall = 0;
};

} // namespace KingCupLadder
